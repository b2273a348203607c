#pragma once

#include "coordination/configuration_follower.h"
#include "coordination/watch_schedule.h"
#include "entry_host/peer_mesh.h"
#include "state/object_store.h"
#include "transport/event_loop.h"

#include <set>
#include <string>

namespace dotterel {

/// Fetches the roots and chunks of configurations from the platform and from peers for a host's
/// ConfigurationFollower, and serves them to peers that have older versions.
class ConfigurationFeed
{
public:
    /// \a listener is called with each configuration that is applied. \a mesh is not used before
    /// start(), so it may be constructed later.
    ConfigurationFeed(EventLoop &loop, ObjectStore &platform, PeerMesh &mesh,
                      ConfigurationFollower::Listener listener, Metrics &metrics, EventLog &log);

    /// Starts to watch the platform. The first configuration is held back until the version of a
    /// peer is known and reached, or for \a peerWait, as the platform may return a stale one.
    void start(Duration peerWait);

    /// Sets the turn of this host among those that watch the platform.
    void setWatchTurn(const WatchTurn &turn) { this->watchSchedule.setTurn(turn); }

    /// Handles a message that a peer sent over \a link; ignores those that do not concern
    /// configurations.
    void onPeerMessage(std::uint64_t link, const PeerMessage &message);

    /// Returns the applied configuration; its version is 0 if there is none.
    const Configuration &current() const { return this->follower.current(); }

    /// Returns true if the platform answered the last watch call.
    bool isPlatformReachable() const { return this->platformReachable; }

private:
    void onPeerVersion(std::uint64_t link, std::uint64_t version);
    void sendRoot(std::uint64_t link, const ConfigurationRequest &request);
    void sendChunks(std::uint64_t link, const ConfigurationChunkRequest &request);
    void onChunk(std::uint64_t link, const ConfigurationChunkOffer &offer);
    void watch();
    void readMissingChunks();
    void requestMissingChunks(std::uint64_t link);

    EventLoop &loop;
    ObjectStore &platform;
    PeerMesh &mesh;
    EventLog &log;
    ConfigurationFollower follower;
    WatchSchedule watchSchedule;
    bool watchContinues = false; ///< The previous watch ended without a change.
    bool platformReachable = true;
    std::uint64_t watchedVersion = 0; ///< Version of the platform object that holds the root.
    std::set<std::string> chunkReadsInProgress; ///< Names of the chunks.
    std::size_t chunksPendingFromPeer = 0;      ///< Requested chunks that have not arrived.
    TimePoint lastChunkRequest;
    EventLoop::TimerHandle startTimer;
    EventLoop::TimerHandle watchTimer;
    EventLoop::TimerHandle chunkReadTimer;
};

} // namespace dotterel
