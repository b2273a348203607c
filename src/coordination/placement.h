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

/// What a placement needs to know of a request.
struct PlacementQuery
{
    RequestId request;
    std::string workspace;
    std::string pool;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    TimePoint deadline;
    std::vector<ServerId> excluded; ///< Servers that failed this request before.
};

/// Where a request should run.
struct PlacementChoice
{
    ServerId server;
    std::int64_t priority = 0; ///< Given to the engine; a lower number runs first.
    Duration predictedFirstToken = Duration::zero();
    std::vector<ServerId> others; ///< Servers that share a prompt too long for one engine.
};

/// What a backend server says of its own load, late.
struct LoadReport
{
    std::uint64_t queuedPromptTokens = 0;    ///< Prompt tokens that it has not processed yet.
    std::vector<std::uint64_t> queuedByBand; ///< The same by length band; empty if not known.
    std::uint64_t runningStreams = 0;
    std::uint64_t memoryTokensUsed = 0;
    bool draining = false;
};

/// Chooses backend servers and learns from what becomes of the choices. Implementations are pure.
class Placement
{
public:
    virtual ~Placement() = default;

    /// Takes over what operators decided. Placements that use none of it ignore it.
    virtual void applyConfiguration(const Configuration & /*configuration*/) {}

    /// Chooses a server for \a query, or says why the request is refused.
    virtual tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                          TimePoint now) = 0;

    /// The request was sent to \a choice as \a attempt.
    virtual void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                              const PlacementChoice &choice, TimePoint now) = 0;

    /// The first token of \a attempt arrived.
    virtual void onFirstToken(const AttemptId &attempt, TimePoint now) = 0;

    /// \a attempt ended, well or badly.
    virtual void onEnded(const AttemptId &attempt, TimePoint now) = 0;

    /// \a server reported its load.
    virtual void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) = 0;

    /// A peer told of its dispatches. Placements that use no news ignore it.
    virtual void onNews(const DispatchNews & /*news*/, TimePoint /*now*/) {}

    /// Returns true if takeNews() would return something.
    virtual bool hasNews() const { return false; }

    /// Returns what the peers should hear and has not been taken yet.
    virtual DispatchNews takeNews() { return {}; }
};

} // namespace dotterel
