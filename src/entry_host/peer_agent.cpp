#include "entry_host/peer_agent.h"

namespace dotterel {

namespace {

constexpr Duration HostsInterval = std::chrono::seconds(1);

std::vector<MemberRecord> entryHosts(const std::vector<ListedHost> &hosts)
{
    std::vector<MemberRecord> records;
    for (const ListedHost &host : hosts) {
        if (host.role != "entry" || host.leaving)
            continue;
        MemberRecord record;
        record.identity = {host.id, 0, host.failureDomain};
        record.peers = {host.address, host.peerPort};
        records.push_back(record);
    }
    return records;
}

} // namespace

PeerAgent::PeerAgent(EventLoop &loop, Duration tick, Membership &membership, PeerMesh &mesh,
                     HostList &hostList, PeerAgentListener &listener)
    : loop(loop)
    , membership(membership)
    , mesh(mesh)
    , hostList(hostList)
    , listener(listener)
{
    membership.setAddress(mesh.endpoint());
    this->tickTimer = loop.every(tick, [this] { this->onTick(); });
    this->hostsTimer = loop.every(HostsInterval, [this] {
        // Without links, no other reader of the list can tell this host about members.
        if (this->mesh.openLinks() == 0 || this->membership.shouldReadHostList())
            this->readHosts();
    });
    this->readHosts();
}

PeerAgent::~PeerAgent()
{
    *this->alive = false;
}

void PeerAgent::onPeerLinked(std::uint64_t link)
{
    this->mesh.send(link, this->membership.makeHeartbeat());
}

void PeerAgent::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    const TimePoint now = this->loop.now();
    std::optional<PeerMessage> answer;
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message))
        answer = this->membership.onHeartbeat(*heartbeat, now);
    else if (const MemberDigest *digest = std::get_if<MemberDigest>(&message))
        answer = this->membership.onDigest(*digest);
    else if (const MemberUpdate *update = std::get_if<MemberUpdate>(&message))
        answer = this->membership.onUpdate(*update, now);
    if (answer)
        this->mesh.send(link, *answer);
    this->passNotices();
}

void PeerAgent::announceConfiguration(std::uint64_t version)
{
    this->membership.setConfigurationVersion(version);
    this->mesh.broadcast(this->membership.makeHeartbeat());
}

void PeerAgent::sayFarewell()
{
    this->mesh.broadcast(this->membership.leave());
}

void PeerAgent::onTick()
{
    this->listener.beforeHeartbeat();
    this->beat();
    this->mesh.maintain(this->membership.linkTargets(), this->membership.makeUnlinkHeartbeat());
    this->passNotices();
}

void PeerAgent::beat()
{
    const std::optional<Heartbeat> heartbeat = this->membership.onTick(this->loop.now());
    if (heartbeat)
        this->mesh.broadcast(*heartbeat);
}

void PeerAgent::readHosts()
{
    this->hostList.hosts([this, alive = this->alive](const HostList::Result &result, TimePoint) {
        if (*alive)
            this->onHosts(result);
    });
}

void PeerAgent::onHosts(const HostList::Result &result)
{
    if (!result)
        return;
    this->membership.onHostList(entryHosts(*result));
    this->listener.onHostList(*result);
}

void PeerAgent::passNotices()
{
    for (const ServerNotice &notice : this->membership.takeReceivedNotices())
        this->listener.onServerNotice(notice);
}

} // namespace dotterel
