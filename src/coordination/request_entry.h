#pragma once

#include "coordination/placement.h"
#include "coordination/request.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// How far a request has come.
enum class RequestPhase {
    Claiming, ///< An order waits until it is claimed.
    Waiting,  ///< It waits for a server where no other crash suspect runs.
    Running,
};

/// State of one request in a RequestController.
struct RequestEntry
{
    Request request;
    PoolKind kind = PoolKind::Model;
    bool idempotent = true;
    bool claimed = false; ///< An order that only this request may run.
    RequestPhase phase = RequestPhase::Running;
    TimePoint arrival;
    TimePoint deadline;
    TimePoint timer; ///< When the controller looks at the request again.

    AttemptId attempt; ///< Empty while none is running.
    ServerId server;   ///< Of the running attempt.
    int attempts = 0;
    bool heard = false;               ///< Whether a token of the running attempt arrived.
    TimePoint lastToken;              ///< Or when the running attempt was sent.
    std::optional<Duration> patience; ///< How long the attempt may be silent; none for ever.

    std::uint64_t nextIndex = 0;           ///< Of the next token to deliver.
    Verdict verdict = Verdict::NotRun;     ///< The worst of all attempts.
    std::vector<ServerId> excluded;        ///< Servers that failed the request.
    std::optional<TimePoint> blockedSince; ///< Set while the caller does not read.
    std::string fingerprint;               ///< Empty until a CrashGuard asks for it.

    /// Returns the cost of one attempt, in prompt tokens.
    std::uint64_t work() const;

    /// Returns what a Placement needs to know.
    PlacementQuery query() const;
};

} // namespace dotterel
