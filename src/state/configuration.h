#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "transport/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// A tenant of the deployment.
struct Workspace
{
    std::string name;
    double share = 1.0; ///< Fair-share weight under overload.
    /// Time of the last change; a sheet that was exported earlier does not override it.
    WallMilliseconds changedAt = 0;
};

/// A kind of request that callers may name, with its deadline.
struct RequestClass
{
    std::string name;
    Duration deadline = std::chrono::seconds(60); ///< From arrival to the end of the response.
    bool idempotent = true;                       ///< False for orders, which run at most once.
    /// Time of the last change; a sheet that was exported earlier does not override it.
    WallMilliseconds changedAt = 0;
};

/// Kind of backend server in a pool.
enum class PoolKind {
    Model,   ///< Language model engines that stream tokens.
    Service, ///< HTTP services that accept any path.
};

/// Returns the external name of \a kind: "model" or "service".
std::string_view poolKindName(PoolKind kind);

/// A set of interchangeable backend servers.
struct Pool
{
    std::string name;
    PoolKind kind = PoolKind::Model;
};

/// One server process that executes requests.
struct BackendServer
{
    ServerId id;
    std::string pool;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint64_t memoryTokens = 400'000; ///< KV cache capacity of the engine.
    bool honoursFencing = false; ///< Whether it rejects an order with an outdated fencing token.
    bool draining = false;       ///< Set by operators; the server gets no new requests.
};

/// Weights of the objectives in scheduling decisions; they need not add up to one.
struct PolicyWeights
{
    double shortSlowdown = 0.5;
    double firstToken = 0.5;
};

/// The configuration that operators manage. Each version number identifies one content.
struct Configuration
{
    std::uint64_t version = 0; ///< 0 if no configuration has been accepted yet.
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, RequestClass> requestClasses;
    std::map<std::string, Pool> pools;
    std::map<ServerId, BackendServer> servers;
    PolicyWeights policy;
    WallMilliseconds sheetExportedAt = 0; ///< Export time of the last applied sheet; 0 if none.
};

} // namespace dotterel
