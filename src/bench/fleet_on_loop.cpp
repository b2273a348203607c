#include "bench/fleet_on_loop.h"

#include "core/random_source.h"
#include "entry_host/membership_driver.h"
#include "entry_host/peer_mesh.h"

namespace dotterel {

namespace {

constexpr int SilentTicks = 8;
constexpr std::uint64_t FrameOverheadBytes = 6; ///< Header and mask of a short WebSocket frame.
constexpr Duration FarewellTime = std::chrono::milliseconds(20);

/// Keeps what a mesh counts.
class TrafficMetrics : public NullMetrics
{
public:
    void count(Counter counter, std::uint64_t amount) override
    {
        if (counter == Counter::PeerMessagesSent)
            this->messages += amount;
        else if (counter == Counter::PeerBytesSent)
            this->bytes += amount;
    }

    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

} // namespace

/// The list of running hosts, without lag.
class FleetOnLoop::List : public HostList
{
public:
    explicit List(FleetOnLoop &owner)
        : owner(owner)
    {}

    void readHosts(Callback callback) override;

    std::uint64_t reads = 0;

private:
    FleetOnLoop &owner;
};

/// One host's part in the mesh.
class FleetOnLoop::Host
    : private PeerListener
    , private MembershipDriverListener
{
public:
    Host(FleetOnLoop &owner, const HostIdentity &identity)
        : random(owner.options.seed + identity.incarnation)
        , membership(identity, owner.options.tick, this->metrics, this->log)
        , mesh(owner.loop, Endpoint{}, identity.host, owner.options.tick * SilentTicks, *this,
               this->random, this->metrics, this->log)
        , agent(owner.loop, owner.options.tick, this->membership, this->mesh, *owner.list, *this)
    {}

    void apply(std::uint64_t newVersion)
    {
        this->version = newVersion;
        this->agent.announceConfiguration(newVersion);
    }

    TrafficMetrics metrics;
    NullEventLog log;
    SeededRandom random;
    Membership membership;
    PeerMesh mesh;
    MembershipDriver agent;
    std::uint64_t version = 0;

private:
    void onPeerLinkOpened(std::uint64_t link) override { this->agent.onPeerLinkOpened(link); }
    void onPeerMessage(std::uint64_t link, const PeerMessage &message) override
    {
        this->agent.onPeerMessage(link, message);
        if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
            if (heartbeat->sender.configurationVersion > this->version)
                this->mesh.send(link, ConfigurationRequest{this->version});
        } else if (std::holds_alternative<ConfigurationRequest>(message)) {
            this->mesh.send(link, ConfigurationOffer{this->version, "{}"});
        } else if (const ConfigurationOffer *offer = std::get_if<ConfigurationOffer>(&message)) {
            if (offer->version > this->version)
                this->apply(offer->version);
        }
    }
    void onHostList(const std::vector<HostListEntry> & /*hosts*/) override {}
    void onServerNotice(const ServerDrainNotice & /*notice*/) override {}
    void beforeHeartbeat() override {}
};

void FleetOnLoop::List::readHosts(Callback callback)
{
    ++this->reads;
    std::vector<HostListEntry> listed;
    for (const std::unique_ptr<Host> &host : this->owner.hosts) {
        if (host == nullptr)
            continue;
        const MemberRecord &own = host->membership.ownRecord();
        listed.push_back({own.identity.host, "entry", own.identity.failureDomain,
                          own.peerEndpoint.address, own.peerEndpoint.port});
    }
    callback(listed, this->owner.loop.now());
}

FleetOnLoop::FleetOnLoop(const FleetOptions &options)
    : options(options)
    , list(std::make_unique<List>(*this))
    , hosts(options.hosts + 1)
{}

FleetOnLoop::~FleetOnLoop() = default;

void FleetOnLoop::start(std::size_t host)
{
    const HostIdentity identity{"entry-" + std::to_string(host), this->nextIncarnation++,
                                benchDomainName(host, this->options)};
    this->hosts.at(host) = std::make_unique<Host>(*this, identity);
}

void FleetOnLoop::kill(std::size_t host)
{
    const std::unique_ptr<Host> ended = std::move(this->hosts.at(host));
    this->sent.messages += ended->metrics.messages;
    this->sent.bytes += ended->metrics.bytes;
}

void FleetOnLoop::leave(std::size_t host)
{
    this->hosts.at(host)->agent.announceShutdown();
    this->advance(FarewellTime);
    this->kill(host);
}

void FleetOnLoop::announce(std::size_t host, std::uint64_t version)
{
    this->hosts.at(host)->apply(version);
}

bool FleetOnLoop::running(std::size_t host) const
{
    return this->hosts.at(host) != nullptr;
}

const Membership &FleetOnLoop::membership(std::size_t host) const
{
    return this->hosts.at(host)->membership;
}

std::uint64_t FleetOnLoop::configurationVersion(std::size_t host) const
{
    return this->hosts.at(host)->version;
}

FleetTraffic FleetOnLoop::traffic() const
{
    FleetTraffic total = this->sent;
    for (const std::unique_ptr<Host> &host : this->hosts) {
        if (host == nullptr)
            continue;
        total.messages += host->metrics.messages;
        total.bytes += host->metrics.bytes;
    }
    total.bytes += total.messages * FrameOverheadBytes;
    total.listReads = this->list->reads;
    return total;
}

void FleetOnLoop::advance(Duration time)
{
    bool expired = false;
    const EventLoop::TimerHandle timer = this->loop.after(time, [&expired] { expired = true; });
    while (!expired)
        this->loop.runOnce(true);
}

} // namespace dotterel
