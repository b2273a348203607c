#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "core/verdict.h"
#include "protocol/peer_message.h"
#include "state/configuration.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Properties of a request that a placement decision depends on.
struct PlacementQuery
{
    RequestId request;
    std::string workspace;
    std::string pool;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    TimePoint deadline;
    std::vector<ServerId> excluded; ///< Servers on which this request failed before.
};

/// The result of a placement decision.
struct PlacementChoice
{
    ServerId server;
    std::int64_t priority = 0; ///< Passed to the engine; a lower number runs first.
    Duration predictedFirstToken = Duration::zero();
    /// Further servers for a prompt that is too long for one engine.
    std::vector<ServerId> additionalServers;
};

/// Load that a backend server reported; may be out of date.
struct LoadReport
{
    std::uint64_t queuedPromptTokens = 0;    ///< Prompt tokens not processed yet.
    std::vector<std::uint64_t> queuedByBand; ///< The same by length band; empty if unknown.
    std::uint64_t runningStreams = 0;
    std::uint64_t memoryTokensUsed = 0;
    bool draining = false;
};

/// Chooses backend servers for requests, and is informed of the progress of each attempt.
/// Implementations are deterministic: they perform no I/O and read no clock.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Applies a new configuration. The default implementation ignores it.
    virtual void applyConfiguration(const Configuration & /*configuration*/) {}

    /// Chooses a server for \a query, or returns the failure with which the request is refused.
    virtual tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                          TimePoint now) = 0;

    /// Called when the request was sent to \a choice as \a attempt.
    virtual void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                              const PlacementChoice &choice, TimePoint now) = 0;

    /// Called when the first token of \a attempt arrived.
    virtual void onFirstToken(const AttemptId &attempt, TimePoint now) = 0;

    /// Called when \a attempt ended, whether it succeeded or failed.
    virtual void onEnded(const AttemptId &attempt, TimePoint now) = 0;

    /// Called when \a server reported its load.
    virtual void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) = 0;

    /// Called when a peer sent its dispatch events. The default implementation ignores them.
    virtual void onDispatchNews(const DispatchUpdate & /*news*/, TimePoint /*now*/) {}

    /// Returns true if takeDispatchNews() would return any events.
    virtual bool hasDispatchNews() const { return false; }

    /// Returns and clears the pending dispatch events for the peers.
    virtual DispatchUpdate takeDispatchNews() { return {}; }
};

} // namespace dotterel
