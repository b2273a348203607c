#pragma once

#include "coordination/membership.h"
#include "entry_host/peer_mesh.h"
#include "state/object_store.h"
#include "transport/event_loop.h"

#include <memory>
#include <vector>

namespace dotterel {

/// Receives the events of a MembershipDriver.
class MembershipDriverListener
{
public:
    virtual ~MembershipDriverListener() = default;

    /// The platform's list of hosts was read.
    virtual void onHostList(const std::vector<HostListEntry> &hosts) = 0;

    /// A peer or this host published \a notice.
    virtual void onServerNotice(const ServerDrainNotice &notice) = 0;

    /// A heartbeat is about to be sent; notices published now are part of it.
    virtual void beforeHeartbeat() = 0;
};

/// Drives a Membership by timers of the event loop and messages of a PeerMesh. Reads the platform's
/// list of hosts if Membership assigns that to this host.
class MembershipDriver
{
public:
    MembershipDriver(EventLoop &loop, Duration heartbeatInterval, Membership &membership,
                     PeerMesh &mesh, HostList &hostList, MembershipDriverListener &listener);
    ~MembershipDriver();

    /// Handle the events of the mesh.
    void onPeerLinkOpened(std::uint64_t link);
    void onPeerMessage(std::uint64_t link, const PeerMessage &message);

    /// Announces to the linked peers that this host has applied configuration \a version, without
    /// waiting for the next heartbeat.
    void announceConfiguration(std::uint64_t version);

    /// Announces to the linked peers that this host shuts down.
    void announceShutdown();

private:
    void onTick();
    void sendHeartbeat();
    void readHostList();
    void onHostListRead(const HostList::Result &result);
    void forwardServerNotices();

    EventLoop &loop;
    Membership &membership;
    PeerMesh &mesh;
    HostList &hostList;
    MembershipDriverListener &listener;
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); ///< False for callbacks that run after destruction.
    EventLoop::TimerHandle tickTimer;
    EventLoop::TimerHandle hostListTimer;
};

} // namespace dotterel
