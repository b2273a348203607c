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

    /// Repeats reads of chunks that are still missing; to be called now and then.
    void onTimer();

    /// The peer behind \a link has \a version in force.
    void onPeerVersion(std::uint64_t link, std::uint64_t version);

    /// A message about configurations came over \a link.
    void onMessage(std::uint64_t link, const ConfigurationRequest &request);
    void onMessage(std::uint64_t link, const ConfigurationOffer &offer);
    void onMessage(std::uint64_t link, const ConfigurationChunkRequest &request);
    void onMessage(std::uint64_t link, const ConfigurationChunkOffer &offer);

    /// Returns the configuration in force; its version is 0 if there is none.
    const Configuration &current() const { return this->follower.current(); }

    /// Returns whether the last call of the watch was answered.
    bool isPlatformReachable() const { return this->platformReachable; }

private:
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
};

} // namespace dotterel
