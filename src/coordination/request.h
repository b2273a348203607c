#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "core/verdict.h"
#include "state/configuration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dotterel {

/// A request as an entry host accepted it from a caller.
struct Request
{
    RequestId id;
    std::string workspace;
    std::string requestClass;
    std::string pool;
    std::string idempotencyKey; ///< Empty if the caller gave none.
    std::string method;         ///< For plain services.
    std::string target;         ///< For plain services: path and query.
    std::string contentType;
    std::shared_ptr<const std::string> body;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
};

/// The answer of a plain service, or one recorded for an order that already ran.
struct ServiceAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// One attempt to be sent to a backend server.
struct AttemptOrder
{
    AttemptId attempt;
    PoolKind kind = PoolKind::Model;
    BackendServer server;
    std::vector<BackendServer> others; ///< That share a prompt too long for one engine's memory.
    std::string allocation;            ///< Memory prepared for the prompt; empty if there is none.
    std::int64_t priority = 0;         ///< A lower number runs first.
    std::uint64_t resumeAt = 0;        ///< Index of the first token that is still missing.
    TimePoint deadline;
    const Request *request = nullptr; ///< Valid during the call only.
};

/// Names one order; the claim decides who may run it.
struct OrderClaim
{
    RequestId request;
    std::string workspace;
    std::string idempotencyKey;
    std::string bodyHash;
    TimePoint deadline;
};

/// How an attempt to claim an order ended.
enum class ClaimResult {
    Claimed,         ///< This request alone may run the order.
    AlreadyFinished, ///< The order ran; its answer is given.
    InProgress,      ///< Another request is running the order.
    OutcomeUnknown,  ///< The order was claimed by a host that is gone.
    BodyMismatch,    ///< The key belongs to an order with another body.
    Unavailable,     ///< The claim could not be made in time; the order was not dispatched.
};

/// The result of a claim, with the recorded answer of a finished order.
struct ClaimOutcome
{
    ClaimResult result = ClaimResult::Unavailable;
    ServiceAnswer answer;
};

/// What a failed attempt says of the backend server.
enum class ServerFault {
    None,        ///< The server answered and goes on.
    Draining,    ///< The server refused because it is leaving.
    Unreachable, ///< It could not be connected or did not answer in time.
    Died         ///< The connection broke while the request was running.
};

/// How an attempt failed.
struct AttemptFailure
{
    Failure failure;
    ServerFault fault = ServerFault::None;
    ServerId server{}; ///< Of a group, the one that failed; empty for the attempt's own.
};

} // namespace dotterel
