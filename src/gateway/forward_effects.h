#pragma once

#include "gateway/gateway_protocol.h"
#include "gateway/prompt_updates.h"
#include "protocol/crash_notice.h"
#include "transport/http_client.h"
#include "transport/keep_alive_http_server.h"

#include <memory>
#include <string>

namespace dotterel {

/// Identifies one attempt of a ForwardController. Ids are never reused.
using ForwardAttemptId = std::uint64_t;

/// Actions that a ForwardController requests from its owner. Implementations must not call back
/// into the controller from any of these functions; ending a call or an attempt takes effect
/// immediately.
class ForwardEffects
{
public:
    virtual ~ForwardEffects() = default;

    /// Sends \a request to a server and reports its progress as \a attempt.
    virtual void sendAttempt(ForwardAttemptId attempt, const HttpRequest &request) = 0;

    /// Closes the connection of \a attempt, which makes the server cancel the work. No further
    /// events are reported for the attempt.
    virtual void cancelAttempt(ForwardAttemptId attempt) = 0;

    /// Stops or resumes reading the response of \a attempt.
    virtual void pauseAttempt(ForwardAttemptId attempt, bool paused) = 0;

    /// Sends \a request to an engine and reports how the engine answered.
    virtual void sendReservationRequest(const MemoryReservationRequest &request) = 0;

    /// Asks \a server for a sign of life without giving it work.
    virtual void probeServer(const GatewayServer &server) = 0;

    /// Sends a complete response to a caller.
    virtual void sendResponse(HttpCallId call, int status, const HttpHeaders &headers,
                              std::string_view body) = 0;

    /// Sends the head of a response; the body is chunked if \a length is not set.
    virtual void startResponse(HttpCallId call, int status, const HttpHeaders &headers,
                               std::optional<std::uint64_t> length) = 0;

    /// Sends body bytes. Returns the number of bytes that are queued for the caller.
    virtual std::size_t sendResponseData(HttpCallId call, std::string_view bytes) = 0;

    /// Ends a response as complete.
    virtual void endResponse(HttpCallId call) = 0;

    /// Aborts a response so that the caller recognizes it as incomplete.
    virtual void abortResponse(HttpCallId call) = 0;

    /// Sends the progress of a prompt of this host to the other hosts.
    virtual void publishPromptUpdate(const PromptUpdate &update) = 0;

    /// Tells the other hosts that \a server announced that it leaves.
    virtual void publishServerLeaving(const ServerLeavingNotice &notice) = 0;

    /// Tells the other hosts of a server that names a limit.
    virtual void publishServerLimit(const ServerLimitNotice &notice) = 0;

    /// Tells the other hosts of a server that warms up.
    virtual void publishServerWarmUp(const ServerWarmUpNotice &notice) = 0;

    /// Asks the host \a host, by the hash of its incarnation, for a part of its retry budget, or
    /// lends it one. Sent at once, as requests wait for it.
    virtual void sendRetryAsk(std::uint32_t host, const RetryAsk &ask) = 0;
    virtual void sendRetryLoan(std::uint32_t host, const RetryLoan &loan) = 0;

    /// Sends a crash notice about a request fingerprint to the other hosts.
    virtual void publishCrashNotice(const CrashNotice &notice) = 0;
};

} // namespace dotterel
