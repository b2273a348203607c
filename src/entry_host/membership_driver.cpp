#include "entry_host/membership_driver.h"

namespace dotterel {

namespace {

constexpr Duration HostListInterval = std::chrono::seconds(1);

std::vector<MemberRecord> entryHostRecords(const std::vector<HostListEntry> &hosts)
{
    std::vector<MemberRecord> records;
    for (const HostListEntry &host : hosts) {
        if (host.role != "entry" || host.leaving)
            continue;
        MemberRecord record;
        record.identity = {host.id, 0, host.failureDomain};
        record.peerEndpoint = {host.address, host.peerPort};
        records.push_back(record);
    }
    return records;
}

} // namespace

MembershipDriver::MembershipDriver(EventLoop &loop, Duration heartbeatInterval,
                                   Membership &membership, PeerMesh &mesh, HostList &hostList,
                                   MembershipDriverListener &listener)
    : loop(loop)
    , membership(membership)
    , mesh(mesh)
    , hostList(hostList)
    , listener(listener)
{
    membership.setAddress(mesh.endpoint());
    this->tickTimer = loop.every(heartbeatInterval, [this] { this->onTick(); });
    this->hostListTimer = loop.every(HostListInterval, [this] {
        // Without links, no other reader of the list can tell this host about members.
        if (this->mesh.openLinks() == 0 || this->membership.shouldReadHostList())
            this->readHostList();
    });
    this->readHostList();
}

MembershipDriver::~MembershipDriver()
{
    *this->alive = false;
}

void MembershipDriver::onPeerLinkOpened(std::uint64_t link)
{
    this->mesh.send(link, this->membership.makeHeartbeat());
}

void MembershipDriver::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    const TimePoint now = this->loop.now();
    std::optional<PeerMessage> reply;
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message))
        reply = this->membership.onHeartbeat(*heartbeat, now);
    else if (const MemberDigest *digest = std::get_if<MemberDigest>(&message))
        reply = this->membership.onDigest(*digest);
    else if (const MemberUpdate *update = std::get_if<MemberUpdate>(&message))
        reply = this->membership.onUpdate(*update, now);
    if (reply)
        this->mesh.send(link, *reply);
    this->forwardServerNotices();
}

void MembershipDriver::announceConfiguration(std::uint64_t version)
{
    this->membership.setConfigurationVersion(version);
    this->mesh.broadcast(this->membership.makeHeartbeat());
}

void MembershipDriver::announceShutdown()
{
    this->mesh.broadcast(this->membership.leave());
}

void MembershipDriver::onTick()
{
    this->listener.beforeHeartbeat();
    this->sendHeartbeat();
    this->mesh.updateLinks(this->membership.linkTargets(), this->membership.makeUnlinkHeartbeat());
    this->forwardServerNotices();
}

void MembershipDriver::sendHeartbeat()
{
    const std::optional<Heartbeat> heartbeat = this->membership.onTick(this->loop.now());
    if (heartbeat)
        this->mesh.broadcast(*heartbeat);
}

void MembershipDriver::readHostList()
{
    this->hostList.readHosts(
            [this, alive = this->alive](const HostList::Result &result, TimePoint) {
                if (*alive)
                    this->onHostListRead(result);
            });
}

void MembershipDriver::onHostListRead(const HostList::Result &result)
{
    if (!result)
        return;
    this->membership.onHostList(entryHostRecords(*result));
    this->listener.onHostList(*result);
}

void MembershipDriver::forwardServerNotices()
{
    for (const ServerDrainNotice &notice : this->membership.takeReceivedNotices())
        this->listener.onServerNotice(notice);
}

} // namespace dotterel
