#include "bench/fleet_simulation.h"

#include "coordination/member_backoff.h"

#include <string>

namespace dotterel {

namespace {

constexpr int TicksPerListRead = 4;
constexpr int SilentTicks = 8;
constexpr Duration ConnectTimeout = std::chrono::seconds(2);
constexpr std::size_t FrameOverheadBytes = 6; ///< Header and mask of a short WebSocket frame.

std::string hostName(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

} // namespace

struct FleetSimulation::Node
{
    Node(HostIdentity identity, Duration tick, RandomSource &random, Metrics &metrics,
         EventLog &log)
        : incarnation(identity.incarnation)
        , domain(identity.failureDomain)
        , membership(std::move(identity), tick, metrics, log)
        , backoff(random)
    {}

    Incarnation incarnation;
    std::string domain;
    Membership membership;
    MemberBackoff backoff;
    bool frozen = false;
    std::uint64_t ticks = 0;
    std::uint64_t version = 0;
    std::map<std::size_t, TimePoint> links; ///< Linked hosts, with when each was heard.
    std::set<std::size_t> connecting;
    std::set<std::size_t> outgoing;            ///< Links that this node opened.
    std::vector<std::function<void()>> missed; ///< What happened while the node was frozen.
    std::vector<ServerDrainNotice> notices;
};

FleetSimulation::FleetSimulation(const FleetOptions &options)
    : options(options)
    , random(options.seed)
    , nodes(options.hosts + 1)
{
    for (std::size_t host = 0; host < this->nodes.size(); ++host)
        this->indexes[hostName(host)] = host;
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::start(std::size_t host)
{
    const Incarnation incarnation = this->nextIncarnation++;
    const HostIdentity identity{hostName(host), incarnation, benchDomainName(host, this->options)};
    this->nodes.at(host) = std::make_unique<Node>(identity, this->options.tick, this->random,
                                                  this->metrics, this->log);
    this->node(host).membership.setAddress({"10.0.0.1", static_cast<std::uint16_t>(10'000 + host)});
    this->scheduleTick(host, incarnation,
                       Duration(this->random.nextBelow(
                               static_cast<std::uint64_t>(this->options.tick.count()))));
}

void FleetSimulation::kill(std::size_t host)
{
    const std::unique_ptr<Node> dead = std::move(this->nodes.at(host));
    for (const auto &[peer, heard] : dead->links) {
        if (this->running(peer))
            this->node(peer).links.erase(host);
    }
}

void FleetSimulation::leave(std::size_t host)
{
    this->broadcast(host, this->node(host).membership.leave());
    this->at(this->options.latency * 2, [this, host] { this->kill(host); });
}

void FleetSimulation::announce(std::size_t host, std::uint64_t version)
{
    Node &target = this->node(host);
    target.version = version;
    target.membership.setConfigurationVersion(version);
    this->broadcast(host, target.membership.makeHeartbeat());
}

bool FleetSimulation::running(std::size_t host) const
{
    return this->nodes.at(host) != nullptr;
}

const Membership &FleetSimulation::membership(std::size_t host) const
{
    return this->nodes.at(host)->membership;
}

std::uint64_t FleetSimulation::configurationVersion(std::size_t host) const
{
    return this->nodes.at(host)->version;
}

void FleetSimulation::advance(Duration time)
{
    const TimePoint end = this->clock + time;
    while (!this->events.empty() && this->events.top().time <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->clock = event.time;
        event.action();
    }
    this->clock = end;
}

void FleetSimulation::freeze(std::size_t host)
{
    this->node(host).frozen = true;
}

void FleetSimulation::wake(std::size_t host)
{
    Node &woken = this->node(host);
    woken.frozen = false;
    const std::vector<std::function<void()>> missed = std::exchange(woken.missed, {});
    for (const std::function<void()> &action : missed)
        action();
}

void FleetSimulation::cut(const std::set<std::string> &domains)
{
    this->cutDomains = domains;
}

void FleetSimulation::publish(std::size_t host, const ServerDrainNotice &notice)
{
    this->node(host).membership.publishNotice(notice);
}

const std::vector<ServerDrainNotice> &FleetSimulation::noticesOf(std::size_t host) const
{
    return this->nodes.at(host)->notices;
}

std::vector<std::size_t> FleetSimulation::linksOf(std::size_t host) const
{
    std::vector<std::size_t> peers;
    for (const auto &[peer, heard] : this->nodes.at(host)->links)
        peers.push_back(peer);
    return peers;
}

void FleetSimulation::at(Duration delay, std::function<void()> action)
{
    this->events.push({this->clock + delay, this->nextOrder++, std::move(action)});
}

void FleetSimulation::scheduleTick(std::size_t host, Incarnation incarnation, Duration delay)
{
    this->at(delay, [this, host, incarnation] {
        if (!this->running(host) || this->node(host).incarnation != incarnation)
            return;
        if (this->node(host).frozen) {
            this->node(host).missed.emplace_back([this, host, incarnation] {
                this->scheduleTick(host, incarnation, Duration::zero());
            });
            return;
        }
        this->tick(host);
        this->scheduleTick(host, incarnation, this->options.tick);
    });
}

void FleetSimulation::tick(std::size_t host)
{
    Node &self = this->node(host);
    const bool readTime = self.ticks++ % TicksPerListRead == 0;
    if (readTime && (self.links.empty() || self.membership.shouldReadHostList()))
        this->readList(host);
    const std::optional<Heartbeat> heartbeat = self.membership.onTick(this->clock);
    if (heartbeat)
        this->broadcast(host, *heartbeat);
    this->maintainLinks(host);
}

void FleetSimulation::maintainLinks(std::size_t host)
{
    Node &self = this->node(host);
    std::vector<std::size_t> silent;
    for (const auto &[peer, heard] : self.links) {
        if (this->clock - heard > this->options.tick * SilentTicks)
            silent.push_back(peer);
    }
    for (const std::size_t peer : silent)
        this->closeLink(host, peer);
    this->closeUnwanted(host);
    for (const MemberRecord &target : self.membership.linkTargets()) {
        const std::size_t peer = this->indexes.at(target.identity.host);
        if (self.links.count(peer) == 0 && self.connecting.count(peer) == 0
            && self.backoff.mayConnect(target.identity.host, this->clock))
            this->connect(host, peer);
    }
}

void FleetSimulation::closeUnwanted(std::size_t host)
{
    std::set<std::size_t> wanted;
    for (const MemberRecord &target : this->node(host).membership.linkTargets())
        wanted.insert(this->indexes.at(target.identity.host));
    const std::set<std::size_t> opened = this->node(host).outgoing;
    for (const std::size_t peer : opened) {
        if (wanted.count(peer) > 0)
            continue;
        this->node(host).outgoing.erase(peer);
        if (this->node(host).links.count(peer) == 0)
            continue;
        const PeerMessage goodbye = this->node(host).membership.makeUnlinkHeartbeat();
        this->send(host, peer, std::make_shared<const std::string>(encodePeerMessage(goodbye)));
        this->node(host).links.erase(peer);
    }
}

void FleetSimulation::connect(std::size_t from, std::size_t to)
{
    const Incarnation incarnation = this->node(from).incarnation;
    this->node(from).connecting.insert(to);
    const bool answered = this->reachable(from, to) && !this->node(to).frozen;
    const bool refused = !this->running(to);
    const Duration delay =
            answered || refused ? this->options.latency * 4 : Duration(ConnectTimeout);
    this->at(delay, [this, from, to, incarnation, answered] {
        if (!this->running(from) || this->node(from).incarnation != incarnation)
            return;
        Node &self = this->node(from);
        self.connecting.erase(to);
        if (!answered || !this->reachable(from, to)) {
            self.backoff.onConnectionFailed(hostName(to), this->clock);
            return;
        }
        self.links[to] = this->clock;
        self.outgoing.insert(to);
        this->node(to).links[from] = this->clock;
        for (const auto &[host, peer] : {std::pair(from, to), std::pair(to, from)}) {
            const std::string bytes =
                    encodePeerMessage(this->node(host).membership.makeHeartbeat());
            this->send(host, peer, std::make_shared<const std::string>(bytes));
        }
    });
}

void FleetSimulation::closeLink(std::size_t from, std::size_t to)
{
    this->node(from).links.erase(to);
    this->node(from).backoff.onConnectionFailed(hostName(to), this->clock);
    if (this->reachable(from, to))
        this->node(to).links.erase(from);
}

void FleetSimulation::readList(std::size_t host)
{
    ++this->sent.listReads;
    std::vector<MemberRecord> listed;
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (!this->running(other))
            continue;
        MemberRecord record;
        record.identity = {hostName(other), 0, this->node(other).domain};
        record.peerEndpoint = this->node(other).membership.ownRecord().peerEndpoint;
        listed.push_back(record);
    }
    this->node(host).membership.onHostList(listed);
}

void FleetSimulation::broadcast(std::size_t host, const PeerMessage &message)
{
    const auto bytes = std::make_shared<const std::string>(encodePeerMessage(message));
    for (const std::size_t peer : this->linksOf(host))
        this->send(host, peer, bytes);
}

void FleetSimulation::send(std::size_t from, std::size_t to,
                           const std::shared_ptr<const std::string> &bytes)
{
    ++this->sent.messages;
    this->sent.bytes += bytes->size() + FrameOverheadBytes;
    this->at(this->options.latency, [this, from, to, bytes] { this->deliver(from, to, *bytes); });
}

void FleetSimulation::deliver(std::size_t from, std::size_t to, const std::string &bytes)
{
    if (!this->reachable(from, to) || this->node(to).links.count(from) == 0)
        return;
    if (this->node(to).frozen) {
        this->node(to).missed.emplace_back(
                [this, from, to, bytes] { this->deliver(from, to, bytes); });
        return;
    }
    const tl::expected<PeerMessage, std::string> message = decodePeerMessage(bytes);
    if (message)
        this->handle(from, to, *message);
}

void FleetSimulation::handle(std::size_t from, std::size_t to, const PeerMessage &message)
{
    Node &self = this->node(to);
    self.links[from] = this->clock;
    self.backoff.reset(hostName(from));
    const auto answer = [this, from, to](const PeerMessage &reply) {
        this->send(to, from, std::make_shared<const std::string>(encodePeerMessage(reply)));
    };
    std::optional<PeerMessage> reply;
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
        reply = self.membership.onHeartbeat(*heartbeat, this->clock);
        if (heartbeat->closesLink)
            self.links.erase(from);
        if (heartbeat->sender.configurationVersion > self.version)
            answer(ConfigurationRequest{self.version});
    } else if (const MemberDigest *digest = std::get_if<MemberDigest>(&message)) {
        reply = self.membership.onDigest(*digest);
    } else if (const MemberUpdate *update = std::get_if<MemberUpdate>(&message)) {
        reply = self.membership.onUpdate(*update, this->clock);
    } else if (std::holds_alternative<ConfigurationRequest>(message)) {
        reply = ConfigurationOffer{self.version, "{}"};
    } else if (const ConfigurationOffer *offer = std::get_if<ConfigurationOffer>(&message)) {
        if (offer->version > self.version)
            this->announce(to, offer->version);
    }
    if (reply)
        answer(*reply);
    for (const ServerDrainNotice &notice : self.membership.takeReceivedNotices())
        self.notices.push_back(notice);
}

bool FleetSimulation::reachable(std::size_t from, std::size_t to) const
{
    if (!this->running(from) || !this->running(to))
        return false;
    const bool fromCut = this->cutDomains.count(this->nodes[from]->domain) > 0;
    const bool toCut = this->cutDomains.count(this->nodes[to]->domain) > 0;
    return fromCut == toCut;
}

FleetSimulation::Node &FleetSimulation::node(std::size_t host)
{
    return *this->nodes.at(host);
}

} // namespace dotterel
