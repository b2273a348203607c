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

/// How often the requests of a route may be executed.
enum class RouteKind {
    Idempotent, ///< May run more than once, so it can be retried.
    AtMostOnce, ///< Retried only if it is known not to have run.
    Stream,     ///< Event stream; retried after an attempt may have run only if it is resumable.
};

/// Returns the external name of \a kind.
std::string_view routeKindName(RouteKind kind);

/// A pool that receives a share of the requests of a route.
struct WeightedPool
{
    std::string pool;
    std::uint64_t weight = 1; ///< Relative to the other pools of the route.
};

/// Routing rule: which requests it matches, where they go, and their latency goals.
struct Route
{
    std::string name;
    std::string hostName;   ///< Host name of the request URL.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<WeightedPool> pools;
    Duration timeout = std::chrono::seconds(30); ///< Upper bound of the deadline of a request.
    Duration latencyGoal = Duration::zero();     ///< Time to the response, or to the first event.
    Duration eventGapGoal = Duration::zero();    ///< Gap between two events of a stream.
    int priority = 0;                            ///< Lower numbers are more urgent.
    std::size_t maxAttempts = 1;                 ///< Attempts that may reach a server.
    bool allowsAnonymous = false;                ///< Callers need no API key.
    bool resumable = false;                      ///< Streams can be resumed at another server.

    /// Returns true if a request may be retried even though it may have run already.
    bool isRetryable() const
    {
        return this->kind == RouteKind::Idempotent
               || (this->kind == RouteKind::Stream && this->resumable);
    }
};

/// Capacity and speed of the engines of a pool, as published by the operators.
struct EngineProfile
{
    std::size_t slots = 1;          ///< Maximum batch size.
    std::uint64_t memoryTokens = 0; ///< KV cache capacity of one engine.
    double baseStepMs = 1.0; ///< Base duration of a step, which decodes one token per sequence.
    double stepMsPerSequence = 0.0; ///< Added for each decoding sequence.
    /// Added for each 1000 context tokens of the decoding sequences.
    double stepMsPerThousandContextTokens = 0.0;
    double prefillTokensPerMs = 1.0; ///< Prefill speed without the attention cost.
    /// Attention cost of prefill, per million pairs of a token and an earlier one.
    double attentionMsPerMillionPairs = 0.0;
    std::uint64_t prefillChunkTokens = 1; ///< Maximum prompt tokens prefilled in one step.
    std::uint64_t stepsPerPass = 1;    ///< Steps of a pass while decoding; events follow each pass.
    bool supportsSplitPrefill = false; ///< Prefill of a prompt can be split over several engines.
};

/// Interchangeable backend servers.
struct ServerPool
{
    std::string name;
    std::size_t maxConnectionsPerServer = 0; ///< Per server, summed over all hosts; 0 if unlimited.
    std::optional<EngineProfile> engine;
    Duration warmUpTime = Duration::zero(); ///< After the start of a server.
    /// Requests per second that a server which warms up takes from all hosts together; 0 if
    /// warm-ups need no care.
    double warmUpRate = 0;
    std::string healthPath = {}; ///< Target of health checks; empty if there is none.
};

/// Workspace that an API key belongs to.
struct GatewayWorkspace
{
    std::string name;
    std::optional<int> priority; ///< Overrides the priority of a route.
};

/// Limits of the HTTP connections of callers.
struct CallerLimits
{
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// Complete gateway configuration as set by operators; replaced as a whole by a higher version.
struct GatewayConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServerPool> pools;
    std::map<std::string, GatewayWorkspace> workspacesByApiKey;
    bool requiresApiKeys = false; ///< Routes need API keys unless they allow anonymous callers.
    CallerLimits limits;
};

/// Registration entry of a backend server.
struct GatewayServer
{
    ServerId id;
    std::string pool;
    std::string failureDomain;
    Endpoint endpoint;
    std::size_t slots = 1; ///< Requests that the server runs concurrently.
    bool draining = false;
    std::uint64_t incarnation = 0; ///< Changes when the server restarts and loses its state.
    /// Time that the warm-up takes from when the entry was written; nullopt if it says nothing.
    std::optional<Duration> warmUpLeft;
};

} // namespace dotterel
