#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "transport/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// What may be repeated of the requests on a route.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Runs once at most.
    Stream,     ///< A stream of events; runs once at most unless it is resumable.
};

/// Returns the external name of \a kind.
std::string_view routeKindName(RouteKind kind);

/// A share of the requests of a route.
struct RouteTarget
{
    std::string pool;
    std::uint64_t weight = 1;
};

/// Where requests go and what is promised for them.
struct Route
{
    std::string name;
    std::string host;       ///< Of the URL.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<RouteTarget> targets;
    Duration timeout = std::chrono::seconds(30); ///< Longest that a caller is kept waiting.
    Duration goal = Duration::zero();            ///< To the answer, or the first event.
    Duration pauseGoal = Duration::zero();       ///< Between two events of a stream.
    int priority = 0;                            ///< A lower number comes first.
    std::size_t maxAttempts = 1;                 ///< Servers that one request may be sent to.
    bool isOpen = false;                         ///< Callers need no key.
    bool resumable = false;                      ///< A stream may go on at another server.

    /// Returns true if a request may be sent again though it may have run.
    bool repeatable() const
    {
        return this->kind == RouteKind::Idempotent
               || (this->kind == RouteKind::Stream && this->resumable);
    }
};

/// How the engines of a pool work, as their operators publish it.
struct EngineProfile
{
    std::size_t slots = 1;                ///< Prompts in one batch.
    std::uint64_t memoryTokens = 0;       ///< Context that fits into one engine.
    double stepMs = 1.0;                  ///< One token for every prompt of the batch.
    double stepMsPerPrompt = 0.0;         ///< Added for each prompt that writes.
    double stepMsPerThousandTokens = 0.0; ///< Added for the context of each prompt that writes.
    double readTokensPerMs = 1.0;
    double readMsPerMillionPairs = 0.0; ///< Pairs of a token and any earlier one.
    std::uint64_t chunkTokens = 1;      ///< Read in one step at the most.
    std::uint64_t stepsPerPass = 1;     ///< While a prompt writes; events leave with each pass.
    bool canShareReading = false;       ///< Several engines can read parts of one prompt.
};

/// Servers that do the same.
struct ServerPool
{
    std::string name;
    std::size_t maxConnections = 0; ///< Of one server, from all hosts; 0 if unlimited.
    std::optional<EngineProfile> engine;
};

/// A workspace as the keys of its callers name it.
struct GatewayWorkspace
{
    std::string name;
    std::optional<int> priority; ///< Comes before the priority of a route.
};

/// What callers may send.
struct CallerLimits
{
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// All that operators configure for the gateway. Replaced as a whole by a higher version.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServerPool> pools;
    std::map<std::string, GatewayWorkspace> workspacesByKey;
    bool needsKeys = false; ///< Callers of routes that are not open need a key.
    CallerLimits limits;
};

/// A backend server as it registered itself.
struct GatewayServer
{
    ServerId id;
    std::string pool;
    std::string failureDomain;
    Endpoint endpoint;
    std::size_t slots = 1;
    bool draining = false;
    std::uint64_t incarnation = 0; ///< Another value means a restart that lost everything.
};

} // namespace dotterel
