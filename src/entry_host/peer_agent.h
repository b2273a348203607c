#pragma once

#include "coordination/membership.h"
#include "entry_host/peer_mesh.h"
#include "state/object_store.h"
#include "transport/event_loop.h"

#include <memory>
#include <vector>

namespace dotterel {

/// Hears what a PeerAgent learns.
class PeerAgentListener
{
public:
    virtual ~PeerAgentListener() = default;

    /// The platform's list was read.
    virtual void onHostList(const std::vector<ListedHost> &hosts) = 0;

    /// Peers sent \a notice, or this host published it.
    virtual void onServerNotice(const ServerNotice &notice) = 0;

    /// A tick begins; the time to publish what there is to tell.
    virtual void beforeHeartbeat() = 0;
};

/// Drives a Membership over a PeerMesh by the loop's time, and reads the platform's list when it is
/// this host's turn.
class PeerAgent
{
public:
    PeerAgent(EventLoop &loop, Duration tick, Membership &membership, PeerMesh &mesh,
              HostList &hostList, PeerAgentListener &listener);
    ~PeerAgent();

    /// Passes on what the mesh reports.
    void onPeerLinked(std::uint64_t link);
    void onPeerMessage(std::uint64_t link, const PeerMessage &message);

    /// Tells the linked peers at once that configuration \a version is in force here.
    void announceConfiguration(std::uint64_t version);

    /// Tells the linked peers that this host ends.
    void sayFarewell();

private:
    void onTick();
    void beat();
    void readHosts();
    void onHosts(const HostList::Result &result);
    void passNotices();

    EventLoop &loop;
    Membership &membership;
    PeerMesh &mesh;
    HostList &hostList;
    PeerAgentListener &listener;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Seen by calls that end late.
    EventLoop::TimerHandle tickTimer;
    EventLoop::TimerHandle hostsTimer;
};

} // namespace dotterel
