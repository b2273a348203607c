#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "core/verdict.h"

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
    int priority = 0; ///< Given to the engine; a lower number runs first.
    Duration predictedFirstToken = Duration::zero();
};

/// What a backend server says of its own load, late.
struct LoadReport
{
    std::uint64_t queuedPromptTokens = 0; ///< Prompt tokens that it has not processed yet.
    std::uint64_t runningStreams = 0;
    std::uint64_t memoryTokensUsed = 0;
    bool draining = false;
};

/// Chooses backend servers and learns from what becomes of the choices. Implementations are pure.
class Placement
{
public:
    virtual ~Placement() = default;

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
};

} // namespace dotterel
