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

/// Carries every request of an entry host from its arrival to its final answer. Pure: it is driven
/// by events and times and acts only through RequestEffects.
class RequestController
{
public:
    /// The other objects must outlive the controller.
    RequestController(const RequestLimits &limits, BackendDirectory &directory,
                      Placement &placement, CrashGuard &crashGuard, RequestEffects &effects,
                      Metrics &metrics, EventLog &log);

    /// Takes over the configuration that new requests are checked against.
    void applyConfiguration(const Configuration &configuration);

    /// Refuses every new request from now on; those accepted before go on.
    void beginShutdown();

    /// A request arrived.
    void submit(const Request &request, TimePoint now);

    /// The claim for \a request was settled.
    void onClaimSettled(const RequestId &request, const ClaimOutcome &outcome, TimePoint now);

    /// A token arrived on the connection of \a attempt.
    void onToken(const AttemptId &attempt, const AnswerToken &token, TimePoint now);

    /// The end mark arrived on the connection of \a attempt.
    void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end, TimePoint now);

    /// A plain service answered \a attempt.
    void onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer, TimePoint now);

    /// \a attempt failed.
    void onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure, TimePoint now);

    /// The caller of \a request closed its connection.
    void onCallerGone(const RequestId &request, TimePoint now);

    /// The caller of \a request does not read: \a blocked is true when too much of the answer
    /// waits for it, and false when it has taken all.
    void onCallerBlocked(const RequestId &request, bool blocked, TimePoint now);

    /// Another entry host told of a suspect; returns true if the others should hear of it too.
    bool onCrashNotice(const CrashNotice &notice, TimePoint now);

    /// Looks at the requests whose timers are due.
    void onTimer(TimePoint now);

    /// Returns the next time at which onTimer() must be called.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the number of requests that have not ended.
    std::size_t inFlight() const { return this->requests.size(); }

private:
    using PlacementResult = tl::expected<PlacementChoice, Failure>;

    void dispatch(RequestEntry &entry, TimePoint now);
    PlacementResult choose(RequestEntry &entry, TimePoint now);
    PlacementResult chooseForSuspect(RequestEntry &entry, std::size_t crashes, TimePoint now);
    void start(RequestEntry &entry, const PlacementChoice &choice, TimePoint now);
    std::optional<Duration> firstPatience(const RequestEntry &entry, const PlacementChoice &choice,
                                          TimePoint now) const;
    void retryOrRefuse(RequestEntry &entry, const AttemptFailure &failure, TimePoint now);
    void noteFault(RequestEntry &entry, const AttemptFailure &failure, TimePoint now);
    bool mayTryAgain(const RequestEntry &entry, TimePoint now) const;
    void onFirstToken(RequestEntry &entry, TimePoint now);
    void expire(RequestEntry &entry, TimePoint now);
    void giveUpAttempt(RequestEntry &entry, TimePoint now);
    void refuse(RequestEntry &entry, Failure failure, TimePoint now);
    void settleClaim(const RequestEntry &entry, Verdict verdict);
    void endAttempt(RequestEntry &entry, TimePoint now);
    void finish(RequestEntry &entry, TimePoint now);
    void erase(const RequestEntry &entry);
    std::size_t crashesOf(RequestEntry &entry, TimePoint now);
    TimePoint nextLook(const RequestEntry &entry, TimePoint now) const;
    void arm(RequestEntry &entry, TimePoint time);
    RequestEntry *entryOf(const AttemptId &attempt);
    void dropForeign(const AttemptId &attempt, std::size_t bytes);

    RequestLimits limits;
    BackendDirectory &directory;
    Placement &placement;
    CrashGuard &crashGuard;
    RequestEffects &effects;
    Metrics &metrics;
    EventLog &log;
    RequestAdmission admission;
    RequestRetryBudget retryBudget;
    std::uint64_t queuedBytes = 0; ///< Of the bodies of all requests.
    std::unordered_map<RequestId, RequestEntry> requests;
    std::unordered_map<AttemptId, RequestId> attempts;
    std::unordered_map<RequestId, OrderClaim> abandonedClaims; ///< Given up before they settled.
    std::unordered_map<ServerId, TimePoint> lastHeard;         ///< Last token of each server.
    std::set<std::pair<TimePoint, RequestId>> timers;          ///< One for each request.
};

} // namespace dotterel
