#pragma once

#include "coordination/backend_directory.h"
#include "coordination/crash_guard.h"
#include "coordination/placement.h"
#include "coordination/request_admission.h"
#include "coordination/request_effects.h"
#include "coordination/request_entry.h"
#include "coordination/request_retry_budget.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "protocol/engine_stream.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Runs the life cycle of every request of an entry host, from its arrival to its final answer.
/// Deterministic: it is driven by events and times, and acts only through RequestEffects.
class RequestController
{
public:
    /// All objects passed by reference must outlive the controller.
    RequestController(const RequestLimits &limits, BackendDirectory &directory,
                      Placement &placement, CrashGuard &crashGuard, RequestEffects &effects,
                      Metrics &metrics, EventLog &log);

    /// Replaces the configuration against which new requests are validated.
    void applyConfiguration(const Configuration &configuration);

    /// Refuses all new requests from now on; requests in flight continue.
    void beginShutdown();

    /// Accepts or refuses a new request.
    void submit(const Request &request, TimePoint now);

    /// Called when the claim for \a request succeeded or failed.
    void onClaimSettled(const RequestId &request, const ClaimOutcome &outcome, TimePoint now);

    /// Called when a token arrived on the connection of \a attempt.
    void onToken(const AttemptId &attempt, const AnswerToken &token, TimePoint now);

    /// Called when the end event arrived on the connection of \a attempt.
    void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end, TimePoint now);

    /// Called when a plain service responded to \a attempt.
    void onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer, TimePoint now);

    /// Called when \a attempt failed.
    void onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure, TimePoint now);

    /// Called when the caller of \a request closed its connection.
    void onCallerGone(const RequestId &request, TimePoint now);

    /// Called when back-pressure from the caller of \a request begins or ends: \a blocked is true
    /// when its output buffer is too full, and false when the buffer has drained.
    void onCallerBlocked(const RequestId &request, bool blocked, TimePoint now);

    /// Applies a crash notice of another entry host; returns true if it must be forwarded.
    bool onCrashNotice(const CrashNotice &notice, TimePoint now);

    /// Handles all requests whose timers are due at \a now.
    void onTimer(TimePoint now);

    /// Returns the next time at which onTimer() must be called.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the number of requests in flight.
    std::size_t inFlight() const { return this->requests.size(); }

private:
    using PlacementResult = tl::expected<PlacementChoice, Failure>;

    void dispatch(RequestEntry &entry, TimePoint now);
    PlacementResult choose(RequestEntry &entry, TimePoint now);
    PlacementResult chooseForSuspect(RequestEntry &entry, std::size_t crashes, TimePoint now);
    void startAttempt(RequestEntry &entry, const PlacementChoice &choice, TimePoint now);
    std::optional<Duration> firstTokenTimeout(const RequestEntry &entry,
                                              const PlacementChoice &choice, TimePoint now) const;
    void retryOrRefuse(RequestEntry &entry, const AttemptFailure &failure, TimePoint now);
    void applyServerFault(RequestEntry &entry, const AttemptFailure &failure, TimePoint now);
    bool canRetry(const RequestEntry &entry, TimePoint now) const;
    void onFirstToken(RequestEntry &entry, TimePoint now);
    void handleTimer(RequestEntry &entry, TimePoint now);
    void retrySilentAttempt(RequestEntry &entry, TimePoint now);
    void refuse(RequestEntry &entry, Failure failure, TimePoint now);
    void releaseClaim(const RequestEntry &entry, Verdict verdict);
    void endAttempt(RequestEntry &entry, TimePoint now);
    void completeAttempt(RequestEntry &entry, TimePoint now);
    void removeRequest(const RequestEntry &entry);
    std::size_t crashCount(RequestEntry &entry, TimePoint now);
    TimePoint nextTimerTime(const RequestEntry &entry, TimePoint now) const;
    void setTimer(RequestEntry &entry, TimePoint time);
    RequestEntry *findByAttempt(const AttemptId &attempt);
    void discardForeignBytes(const AttemptId &attempt, std::size_t bytes);

    RequestLimits limits;
    BackendDirectory &directory;
    Placement &placement;
    CrashGuard &crashGuard;
    RequestEffects &effects;
    Metrics &metrics;
    EventLog &log;
    RequestAdmission admission;
    RequestRetryBudget retryBudget;
    std::uint64_t queuedBytes = 0; ///< Total body size of all requests.
    std::unordered_map<RequestId, RequestEntry> requests;
    std::unordered_map<AttemptId, RequestId> attempts;
    /// Requests that ended while their claim was pending.
    std::unordered_map<RequestId, OrderClaim> abandonedClaims;
    /// Arrival of the last token from each server.
    std::unordered_map<ServerId, TimePoint> lastTokenTimes;
    std::set<std::pair<TimePoint, RequestId>> timers; ///< One per request.
};

} // namespace dotterel
