#pragma once

#include "coordination/placement.h"
#include "coordination/request.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Life cycle phase of a request.
enum class RequestPhase {
    Claiming,         ///< An order whose claim is pending.
    WaitingForServer, ///< A crash suspect that waits for a server without other suspects.
    Running,
};

/// State of one request in flight in a RequestController.
struct RequestEntry
{
    Request request;
    PoolKind kind = PoolKind::Model;
    bool idempotent = true;
    bool claimed = false; ///< Whether the claim of an order succeeded.
    RequestPhase phase = RequestPhase::Running;
    TimePoint arrival;
    TimePoint deadline;
    TimePoint timerDue; ///< When the timer of the request is due.

    AttemptId attempt; ///< The running attempt; empty if there is none.
    ServerId server;   ///< Server of the running attempt.
    int attempts = 0;
    bool receivedToken = false;             ///< Whether the running attempt delivered a token.
    TimePoint lastActivity;                 ///< Last token, dispatch or change of back-pressure.
    std::optional<Duration> silenceTimeout; ///< Maximum silence of the attempt, if any.

    std::uint64_t nextIndex = 0;           ///< Index of the next token to deliver.
    Verdict verdict = Verdict::NotRun;     ///< Highest verdict of all attempts.
    std::vector<ServerId> excluded;        ///< Servers on which the request failed.
    std::optional<TimePoint> blockedSince; ///< Set while the caller is not reading.
    std::string fingerprint;               ///< See CrashGuard::fingerprint(); empty until needed.

    /// Returns the cost of one attempt in the retry budget, in prompt tokens.
    std::uint64_t retryCost() const;

    /// Returns the query for a Placement.
    PlacementQuery query() const;
};

} // namespace dotterel
