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
    double share = 1.0;             ///< Weight in the division of capacity under overload.
    WallMilliseconds changedAt = 0; ///< When this was decided; a sheet exported before loses.
};

/// What callers may ask for and what they are promised.
struct RequestClass
{
    std::string name;
    Duration deadline = std::chrono::seconds(60); ///< From the arrival to the end of the answer.
    bool idempotent = true;                       ///< False marks orders, which run at most once.
    WallMilliseconds changedAt = 0; ///< When this was decided; a sheet exported before loses.
};

/// What the servers of a pool are.
enum class PoolKind {
    Model,   ///< Model engines that stream tokens.
    Service, ///< Plain services that take any path.
};

/// Returns the external name of \a kind: "model" or "service".
std::string_view poolKindName(PoolKind kind);

/// A set of backend servers that can serve the same requests.
struct Pool
{
    std::string name;
    PoolKind kind = PoolKind::Model;
};

/// One process that runs requests.
struct BackendServer
{
    ServerId id;
    std::string pool;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint64_t memoryTokens = 400'000; ///< KV cache of the engine.
    bool honoursFencing = false; ///< Whether it refuses an order with an old fencing number.
    bool draining = false;       ///< Operators want it to get no new work.
};

/// How much each measure counts in a deployment; the two weights need not add up to one.
struct PolicyWeights
{
    double shortSlowdown = 0.5;
    double firstToken = 0.5;
};

/// Everything that operators decide. A version is never given to two different configurations.
struct Configuration
{
    std::uint64_t version = 0; ///< 0 means that none has been accepted yet.
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, RequestClass> requestClasses;
    std::map<std::string, Pool> pools;
    std::map<ServerId, BackendServer> servers;
    PolicyWeights policy;
    WallMilliseconds sheetExportedAt = 0; ///< Of the sheet applied last; 0 if there was none.
};

} // namespace dotterel
