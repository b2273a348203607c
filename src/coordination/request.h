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

/// A request as an entry host received it from a caller.
struct Request
{
    RequestId id;
    std::string workspace;
    std::string requestClass;
    std::string pool;
    std::string idempotencyKey; ///< Empty if the caller sent none.
    std::string method;         ///< Only for plain services.
    std::string target;         ///< Only for plain services: path and query.
    std::string contentType;
    std::shared_ptr<const std::string> body;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
};

/// The response of a plain service, or the recorded response of an order that has already run.
struct ServiceAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// One attempt at a request, to be sent to a backend server.
struct AttemptRequest
{
    AttemptId attempt;
    PoolKind kind = PoolKind::Model;
    BackendServer server;
    /// Further servers for a prompt that exceeds one engine's memory.
    std::vector<BackendServer> additionalServers;
    std::string allocation;     ///< Id of memory reserved for the prompt; empty if none.
    std::int64_t priority = 0;  ///< A lower number runs first.
    std::uint64_t resumeAt = 0; ///< Index of the first token not delivered yet.
    TimePoint deadline;
    const Request *request = nullptr; ///< Valid during the call only.
};

/// Claim on the right to run one order. Only one request can hold it.
struct OrderClaim
{
    RequestId request;
    std::string workspace;
    std::string idempotencyKey;
    std::string bodyHash;
    TimePoint deadline;
};

/// Result of claiming an order.
enum class ClaimResult {
    Claimed,         ///< Only this request may run the order.
    AlreadyFinished, ///< The order has run; its recorded answer is returned.
    InProgress,      ///< Another request is running the order.
    OutcomeUnknown,  ///< The host that claimed the order has since stopped.
    BodyMismatch,    ///< The idempotency key was used with another body.
    Unavailable,     ///< The claim failed or timed out; the order was not dispatched.
};

/// Result of a claim, with the recorded answer if the order has finished.
struct ClaimOutcome
{
    ClaimResult result = ClaimResult::Unavailable;
    ServiceAnswer answer;
};

/// What a failed attempt implies for the state of the backend server.
enum class ServerFault {
    None,          ///< The server responded and remains usable.
    Draining,      ///< The server refused because it is draining.
    Unreachable,   ///< The connection failed or timed out.
    ConnectionLost ///< The connection broke while the request was running.
};

/// Failure of an attempt, with its consequence for the backend server.
struct AttemptFailure
{
    Failure failure;
    ServerFault serverFault = ServerFault::None;
    ServerId failedServer{}; ///< The server of a group that failed; empty for the attempt's server.
};

} // namespace dotterel
