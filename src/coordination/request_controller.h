#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "coordination/request.h"
#include "coordination/request_effects.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "protocol/engine_stream.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Limits of a RequestController.
struct RequestLimits
{
    std::uint64_t maxInFlight = 4'096;
    int maxAttempts = 4;
};

/// Carries every request of an entry host from its arrival to its final answer. Pure: it is driven
/// by events and times and acts only through RequestEffects.
class RequestController
{
public:
    /// The other objects must outlive the controller.
    RequestController(const RequestLimits &limits, BackendDirectory &directory,
                      Placement &placement, RequestEffects &effects, Metrics &metrics,
                      EventLog &log);

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

    /// Ends the requests whose deadline has passed.
    void onTimer(TimePoint now);

    /// Returns the next time at which onTimer() must be called.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the number of requests that have not ended.
    std::size_t inFlight() const { return this->requests.size(); }

private:
    enum class Phase {
        Claiming,
        Running,
    };

    struct Entry
    {
        Request request;
        PoolKind kind = PoolKind::Model;
        bool idempotent = true;
        Phase phase = Phase::Running;
        TimePoint arrival;
        TimePoint deadline;
        AttemptId attempt; ///< Empty while none is running.
        ServerId server;   ///< Of the running attempt.
        int attempts = 0;
        std::uint64_t nextIndex = 0;       ///< Of the next token to deliver.
        Verdict verdict = Verdict::NotRun; ///< The worst of all attempts.
        std::vector<ServerId> excluded;
    };

    std::optional<Failure> check(const Request &request) const;
    void dispatch(Entry &entry, TimePoint now);
    void retryOrRefuse(Entry &entry, const AttemptFailure &failure, TimePoint now);
    void refuse(Entry &entry, Failure failure, TimePoint now);
    void endAttempt(Entry &entry, TimePoint now);
    void erase(const Entry &entry);
    Entry *entryOf(const AttemptId &attempt);
    PlacementQuery queryOf(const Entry &entry) const;

    RequestLimits limits;
    BackendDirectory &directory;
    Placement &placement;
    RequestEffects &effects;
    Metrics &metrics;
    EventLog &log;
    Configuration configuration;
    bool shuttingDown = false;
    std::unordered_map<RequestId, Entry> requests;
    std::unordered_map<AttemptId, RequestId> attempts;
    std::multimap<TimePoint, RequestId> deadlines;
};

} // namespace dotterel
