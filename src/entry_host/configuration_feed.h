#pragma once

#include "coordination/configuration_follower.h"
#include "entry_host/peer_mesh.h"
#include "state/object_store.h"
#include "transport/event_loop.h"

#include <set>
#include <string>

namespace dotterel {

/// Brings roots and chunks of configurations from the platform and from peers to a host's
/// ConfigurationFollower, and serves them to peers that have older ones.
class ConfigurationFeed
{
public:
    /// \a listener hears each configuration that comes into force. \a mesh is used after start().
    ConfigurationFeed(EventLoop &loop, ObjectStore &platform, PeerMesh &mesh,
                      ConfigurationFollower::Listener listener, Metrics &metrics, EventLog &log);

    /// Begins to watch the platform. For \a peerWait peers may name a newer version than a stale
    /// platform gives.
    void start(Duration peerWait);

    /// A message came over \a link; those that are not about configurations do nothing.
    void onPeerMessage(std::uint64_t link, const PeerMessage &message);

    /// Returns the configuration in force; its version is 0 if there is none.
    const Configuration &current() const { return this->follower.current(); }

    /// Returns whether the last call of the watch was answered.
    bool isPlatformReachable() const { return this->platformReachable; }

private:
    void onPeerVersion(std::uint64_t link, std::uint64_t version);
    void serveRoot(std::uint64_t link, const ConfigurationRequest &request);
    void serveChunks(std::uint64_t link, const ConfigurationChunkRequest &request);
    void onChunk(std::uint64_t link, const ConfigurationChunkOffer &offer);
    void watch();
    void fetchChunks();
    void askForChunks(std::uint64_t link);

    EventLoop &loop;
    ObjectStore &platform;
    PeerMesh &mesh;
    EventLog &log;
    ConfigurationFollower follower;
    bool platformReachable = true;
    std::uint64_t watchedVersion = 0;    ///< Of the object that holds the root.
    std::set<std::string> chunksFetched; ///< Being read from the platform.
    std::size_t chunksAwaited = 0;       ///< From the peer that was asked last.
    TimePoint chunksAskedAt;
    EventLoop::TimerHandle startTimer;
    EventLoop::TimerHandle watchTimer;
    EventLoop::TimerHandle fetchTimer;
};

} // namespace dotterel
