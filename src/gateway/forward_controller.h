#pragma once

#include "coordination/prompt_part_guard.h"
#include "core/metrics.h"
#include "gateway/doubtful_ends.h"
#include "gateway/forward_call.h"
#include "gateway/prompt_hold.h"
#include "gateway/prompt_placement.h"
#include "gateway/relay_peers.h"
#include "gateway/response_limits.h"
#include "gateway/retry_lending.h"
#include "gateway/return_schedule.h"
#include "gateway/service_reach.h"
#include "gateway/suspect_probes.h"

#include <algorithm>
#include <map>
#include <set>

namespace dotterel {

/// Forwards caller requests to backend servers: matches the route and the API key, chooses a
/// server, retries where the route allows it, resumes interrupted event streams at another server,
/// and ends every request with exactly one response by its deadline.
///
/// Performs no I/O and reads no clock: the owner reports events together with the current time, and
/// the controller acts through ForwardEffects.
class ForwardController
{
public:
    ForwardController(const GatewayProtocol &protocol, ServerFleet &fleet,
                      PromptPlacement &promptPlacement, ServicePlacement &servicePlacement,
                      RetryBudget &retryBudget, CrashGuard &crashGuard, PromptPartGuard &partGuard,
                      ServiceReach &reach, RelayPeers &relayPeers, ForwardEffects &effects,
                      RandomSource &random, HostId hostName, std::uint32_t senderHash,
                      Metrics &metrics, EventLog &log);

    /// Sets the route table for requests that arrive from now on. Requests in flight keep the
    /// configuration they arrived with.
    void setRouteTable(std::shared_ptr<const RouteTable> table)
    {
        this->routeTable = std::move(table);
    }

    /// Sets the limits for response bytes that arrive from now on.
    void setResponseLimits(const ResponseLimits &limits) { this->responseLimits = limits; }

    /// Sets the number of hosts that share the servers.
    void setHostCount(std::size_t count) { this->hostCount = std::max<std::size_t>(1, count); }

    /// Number of response bytes that are held back.
    std::size_t heldBytes() const { return this->totalHeldBytes; }

    /// A request was received completely.
    void onRequest(HttpCallId id, HttpMessageHead &&head, std::shared_ptr<const std::string> body,
                   TimePoint now);

    /// A request of another host, which reaches no server of its pool, was received completely.
    void onRelayedRequest(HttpCallId id, HttpMessageHead &&head,
                          std::shared_ptr<const std::string> body, const RelayEnvelope &envelope,
                          TimePoint now);

    /// The caller closed its connection; the attempt in progress is cancelled.
    void onCallerDisconnected(HttpCallId id, TimePoint now);

    /// All response bytes queued for the caller were sent; reading from the server resumes.
    void onCallerDrained(HttpCallId id, TimePoint now);

    /// Progress of an attempt: response head, body bytes, and its success or failure. Events of
    /// attempts that have already ended are ignored.
    void onAttemptHead(ForwardAttemptId id, int status, const HttpHeaders &headers, TimePoint now);
    void onAttemptData(ForwardAttemptId id, std::string_view bytes, TimePoint now);
    void onAttemptComplete(ForwardAttemptId id, TimePoint now);
    void onAttemptFailed(ForwardAttemptId id, const HttpFailure &failure, TimePoint now);

    /// The process exits at \a exitAt: requests that no server has yet, and those that arrive from
    /// now on, have no longer than that.
    void beginDrain(TimePoint exitAt);

    /// Refuses requests that arrive from now on, as other hosts can serve them.
    void stopAdmitting() { this->admitting = false; }

    /// Ends all requests in flight because the process exits.
    void endAll(TimePoint now);

    /// A server responded to a message that is not an attempt and was sent at \a sentAt. Records
    /// whether it leaves, asks for a pause or names a limit.
    void onServerHeaders(const ServerId &server, int status, const HttpHeaders &headers,
                         TimePoint sentAt, TimePoint now);

    /// \a server answered a probe, in the incarnation \a incarnation.
    void onServerAlive(const ServerId &server, std::uint64_t incarnation, TimePoint now);

    /// The entries of servers have changed. Settles which attempts ended by a crash.
    void onServersChanged(TimePoint now);

    /// Applies a crash notice of another host. Returns true if it has to be passed on.
    bool onCrashNotice(const CrashNotice &notice, TimePoint now);

    /// Sets the other hosts that share the retry budget, by the hashes of their incarnations.
    void setRetryLenders(std::vector<std::uint32_t> hosts)
    {
        this->retryLending.setHosts(std::move(hosts));
    }

    /// The host \a host asks for a part of this host's retry budget, or has lent some of its own.
    void onRetryAsk(std::uint32_t host, const RetryAsk &ask, TimePoint now);
    void onRetryLoan(std::uint32_t host, const RetryLoan &loan, TimePoint now);

    /// An engine granted or rejected the memory reservation \a reservationId.
    void onReservationResult(const std::string &reservationId, bool granted, TimePoint now);

    /// An engine did not answer an order to reserve, which may still take effect.
    void onReservationUnanswered(const std::string &reservationId, TimePoint now);

    /// An engine answered the release of \a reservationId.
    void onMemoryReleased(const std::string &reservationId, TimePoint now);

    /// Ends requests past their deadline, renews memory reservations and retries attempts that were
    /// inactive for too long.
    void onTimer(TimePoint now);

    /// Returns when onTimer() has to be called next; nullopt if no timer is set.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the prompts of this host that are on engines, for a host that missed their dispatch.
    std::vector<RunningPrompt> runningPrompts(TimePoint now) const;

    /// Number of requests that have not been answered yet.
    std::size_t inFlight() const { return this->calls.size(); }

    /// Returns true if engines have not confirmed the release of memory of ended prompts.
    bool isReleasingMemory() const { return this->memoryReleases.isUnconfirmed(); }

private:
    bool admit(ForwardCall &call, TimePoint now);
    /// Returns the end of a request that arrives at \a now and may take \a timeLeft.
    TimePoint deadlineAfter(Duration timeLeft, TimePoint now) const;
    void dispatch(ForwardCall &call, TimePoint now);
    void dispatchPrompt(ForwardCall &call, const ServerPool &pool, TimePoint now);
    /// Hands the request to another host if this one seems to reach no server of its pool; returns
    /// true if it did.
    bool relay(ForwardCall &call, TimePoint now);
    void onRelayComplete(ForwardCall &call, TimePoint now);
    void onRelayFailed(ForwardCall &call, std::string_view outcome, Verdict verdict, TimePoint now);
    void refuseOutOfReach(ForwardCall &call, TimePoint now);
    /// Returns the servers that the next attempt of \a call avoids where possible.
    std::set<ServerId> avoidedServers(const ForwardCall &call) const;
    /// Records that \a server refused a connection or, from \a since on, gave no answer.
    /// \a usedAttempt tells whether the failure cost more than a refused connection.
    void recordPathFailure(ForwardCall &call, const ServerId &server, bool usedAttempt,
                           TimePoint since, TimePoint now);
    /// Records that the engine of \a reservation did not answer the order to reserve memory, if
    /// that shows anything about it.
    void recordUnansweredOrder(ForwardCall &call, const MemoryReservation &reservation,
                               TimePoint now);
    /// Excludes the servers of \a domain from the next plans if none has sent anything to this host
    /// since \a since.
    void avoidSilentDomain(ForwardCall &call, const std::string &domain, TimePoint since,
                           TimePoint now);
    /// Holds the prompt if that is expected to find a better place for it; returns true if it is
    /// held.
    bool hold(ForwardCall &call, const PromptPlacementResult &decision, TimePoint now);
    /// Holds the request until a server of its pool may get one within the limits that they name,
    /// if it can still be served in time then; returns true if it is held.
    bool holdForLimit(ForwardCall &call, TimePoint now);
    void dispatchService(ForwardCall &call, const ServerPool &pool, TimePoint now);
    void sendPrompt(ForwardCall &call, const PromptPlan &plan, TimePoint now);
    void sendAttempt(ForwardCall &call, const GatewayServer &server,
                     const std::vector<PrefillHelper> &helpers, bool requireNewConnection,
                     TimePoint now);

    void reserveMemory(ForwardCall &call, const PromptPlan &plan, TimePoint now);
    void addReservation(ForwardCall &call, const ServerId &server, std::uint64_t tokens);
    /// Asks for the memory of \a call, or renews it.
    void requestReservations(ForwardCall &call, TimePoint now);
    /// Plans again without the engines that granted no memory, or refuses the request. \a refusedBy
    /// is the engine that refused; empty if engines did not respond.
    /// Returns true if a server of \a plan is in a failure domain that is out of service.
    bool isPlanOutOfService(const PromptPlan &plan) const;
    /// Returns true if the plan of \a call would delay prompts that other hosts have sent since.
    bool hasPlanBecomeCostly(const ForwardCall &call, TimePoint now);
    void onMemoryUnavailable(ForwardCall &call, const ServerId &refusedBy, TimePoint now);
    void releaseReservations(ForwardCall &call, TimePoint now);
    void sendDueReleases(TimePoint now);
    /// Ends an attempt for which memory is set aside and which has not begun.
    void giveUpUnusedMemory(ForwardCall &call, TimePoint now);
    /// Renews granted reservations. Retries or refuses the request and returns false if they were
    /// not granted in time or are not used.
    bool onReservationsDue(ForwardCall &call, TimePoint now);
    std::string choosePool(const ForwardCall &call);
    PromptDemand makeDemand(const ForwardCall &call, TimePoint now) const;
    void recordPromptDispatch(ForwardCall &call, const ServerPool &pool, std::uint64_t memoryTokens,
                              TimePoint now);

    void forwardEvents(ForwardCall &call, std::string_view bytes, TimePoint now);
    void forwardData(ForwardCall &call, std::string_view bytes);
    void beginResponse(ForwardCall &call);
    void completeStream(ForwardCall &call, TimePoint now);
    void completeResponse(ForwardCall &call, TimePoint now);
    /// Handles a response that was broken off. \a outcome says in the log how that was recognized.
    void onResponseBroken(ForwardCall &call, std::string_view outcome, Verdict verdict,
                          TimePoint now);

    /// Returns true if the response of the attempt is passed on event by event.
    static bool passesOnEvents(const ForwardCall &call);
    /// Returns true if the held start of a response may be passed on before its end, which gives up
    /// the possibility to replace it by a retry.
    static bool mayPassOnUnfinished(const ForwardCall &call);
    /// Updates the count of held bytes after those of \a attempt have changed.
    void countHeldBytes(ForwardAttempt &attempt);
    void enforceResponseLimits(ForwardCall &call, TimePoint now);
    /// Begins to pass the response on, or ends the attempt if that is not possible.
    void onLimitExceeded(ForwardCall &call, std::size_t limit, TimePoint now);

    /// How an attempt ended without a response that can be forwarded.
    struct AttemptFailure
    {
        Verdict verdict = Verdict::MayHaveRun;
        RetryReason reason = RetryReason::ServerFailed;
        bool lostAtOnce = false;   ///< The server may have closed the reused connection before.
        bool retryCharged = false; ///< The retry has been charged to the retry budget already.
    };
    /// Retries a request after a failed attempt, or refuses it if no retry is possible.
    void retryOrRefuse(ForwardCall &call, const AttemptFailure &failure, TimePoint now);
    /// Consumes a retry of the budget for \a call; returns false if the share of this host is
    /// exhausted.
    bool tryConsumeRetry(ForwardCall &call, TimePoint now);
    /// Waits for other hosts to lend a retry; returns false if there is no use in it.
    bool awaitRetry(ForwardCall &call, RetryReason reason, TimePoint now);
    /// Retries a request that waited, if the budget allows it now. Otherwise goes on waiting, or
    /// gives up.
    void tryAwaitedRetry(ForwardCall &call, TimePoint now);
    void endRetryWait(ForwardCall &call);
    void askForRetries(const std::string &pool, TimePoint now);
    /// Returns the name of the pool with this hash; empty if there is none.
    std::string poolByHash(std::uint32_t hash) const;
    /// Returns true if the attempt has been inactive for too long and may be replaced.
    bool isReplaceable(const ForwardCall &call, TimePoint now) const;
    /// Gives up an inactive attempt, whose replacement has been charged to the retry budget.
    void replaceSilentAttempt(ForwardCall &call, TimePoint now);
    /// Handles an error status or an invalid response: retries if possible, otherwise forwards the
    /// response if it may be forwarded to callers, and refuses the request if not.
    void retryOrForward(ForwardCall &call, bool invalidResponse, TimePoint now);
    /// Excludes the helpers that may be the reason of a refusal from the next attempt.
    void avoidRefusingHelpers(ForwardCall &call);
    bool mayRetry(const ForwardCall &call, Verdict verdict, TimePoint now) const;
    /// Ends the attempt and records its outcome for the health of its server.
    void endAttempt(ForwardCall &call, AttemptOutcome outcome, TimePoint now);
    /// Cancels the attempt without recording an outcome for its server.
    void abandonAttempt(ForwardCall &call, TimePoint now);

    /// Records whether \a server leaves, asks for a pause or names a limit, in the response to a
    /// request sent at \a sentAt.
    void recordAnnouncements(const ServerId &server, const ResponseMetadata &metadata,
                             TimePoint sentAt, TimePoint now);
    /// Counts a message to \a server against the limit that it names.
    void countAgainstLimit(const ServerId &server, TimePoint now);
    void publishLimit(const ServerId &server);
    void publishWarmUp(const ServerId &server, TimePoint now);
    /// Refuses a request for which no server of \a pool is usable.
    void refuseWithoutServer(ForwardCall &call, TimePoint now, const std::string &detail);
    /// Returns the retry delay for a caller if \a pool has no usable server.
    Duration delayWithoutServer(const std::string &pool, TimePoint now);

    /// Ends a request with a refusal, or aborts its response if part of it was sent already.
    void refuse(ForwardCall &call, Reason reason, std::optional<Duration> retryAfter, TimePoint now,
                const std::string &detail = "");
    void sendRefusal(const ForwardCall &call, int status, Reason reason,
                     std::optional<Duration> retryAfter);
    void finish(ForwardCall &call, int status, TimePoint now);
    void removeCall(ForwardCall &call, TimePoint now);

    const std::string &requestFingerprint(ForwardCall &call);
    /// Returns the fingerprint of the request, or the key of a part of its prompt, for which it is
    /// refused since it crashes servers; empty if it is not.
    std::string refusedSuspect(ForwardCall &call, TimePoint now);
    /// Probes the servers for whose crashes \a suspect is refused.
    void probeCrashedServers(const std::string &suspect, TimePoint now);
    /// Takes back the crashes of servers that have been heard of since.
    void takeBackCrashes();
    void reportCrash(ForwardCall &call, const ServerId &server, std::string_view outcome,
                     TimePoint now);
    const std::vector<std::string> &promptPartKeys(ForwardCall &call);
    /// Accuses the parts of a prompt whose server crashed before it had sent more than its first
    /// events. To be called before the attempt is ended.
    void accuseParts(ForwardCall &call, std::string_view outcome, TimePoint now);
    /// Clears the parts of a prompt whose response has proved to be sound.
    void recordSoundParts(ForwardCall &call, TimePoint now);
    void publishNotices(const std::vector<CrashNotice> &notices);
    /// Withdraws prompts without a response that have a refused part.
    void withdrawRefusedPrompts(TimePoint now);
    /// Judges whether a success shows that the request does not crash servers.
    void recordSuccess(ForwardCall &call, TimePoint now);
    /// Forgets the crashes counted for a request that ran to completion.
    void clearSuspect(const std::string &fingerprint, const CrashContext &context, TimePoint now);
    /// Remembers that the attempt ended in a way that does not show whether its server crashed.
    void doubtEnd(ForwardCall &call, DoubtfulEndKind kind, TimePoint since, TimePoint now);
    /// Does so for an attempt that is given up, unless it has shown that it does its server no
    /// harm.
    void doubtGivenUp(ForwardCall &call, TimePoint now);
    void settleDoubtfulEnds(TimePoint now);
    /// Returns the time from which an attempt without received bytes may be retried.
    TimePoint inactivityDeadline(const ForwardCall &call) const;
    /// Returns that time for a host that was not paused.
    TimePoint inactivityLimit(const ForwardCall &call) const;
    void scheduleTimer(const ForwardCall &call, TimePoint now);
    ForwardCall *findCall(ForwardAttemptId attempt);
    void logFailedAttempt(const ForwardCall &call, std::string_view outcome, Verdict verdict,
                          TimePoint now);

    /// Connecting inside a deployment takes a few milliseconds; the retransmission of a lost packet
    /// takes one second, so that waiting for it is not worthwhile.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

    /// A timer that fires later than this shows that this host was paused or is overloaded.
    static constexpr Duration MaxTimerDelay = std::chrono::milliseconds(100);

    const GatewayProtocol &protocol;
    ServerFleet &fleet;
    PromptPlacement &promptPlacement;
    PromptHold promptHold;
    ServicePlacement &servicePlacement;
    RetryBudget &retryBudget;
    RetryLending retryLending;
    CrashGuard &crashGuard;
    PromptPartGuard &partGuard;
    ServiceReach &reach;
    RelayPeers &relayPeers;
    ForwardEffects &effects;
    RandomSource &random;
    HostId hostName;
    std::uint32_t senderHash; ///< Identifies this incarnation of the host in prompt updates.
    Metrics &metrics;
    EventLog &log;
    DoubtfulEnds doubtfulEnds;
    SuspectProbes suspectProbes;
    ReturnSchedule returnSchedule;
    std::size_t hostCount = 1; ///< Hosts that share the servers.
    TimePoint nextSettling;    ///< Requests that arrive before do not settle doubtful ends.
    std::shared_ptr<const RouteTable> routeTable;
    ForwardAttemptId nextAttemptId = 1;
    std::map<HttpCallId, ForwardCall> calls;
    std::map<ForwardAttemptId, HttpCallId> callsByAttempt;
    ResponseLimits responseLimits;
    std::size_t totalHeldBytes = 0; ///< Sum over all attempts.
    std::uint64_t nextReservationNumber = 1;
    std::map<std::string, HttpCallId> callsByReservation;
    bool admitting = true;
    std::optional<TimePoint> exitAt; ///< When the process exits; set once it drains.
    MemoryReleases memoryReleases;
    std::set<std::pair<TimePoint, HttpCallId>> timers;
    std::optional<TimePoint> resumedAt; ///< When this host last went on after a pause.
};

} // namespace dotterel
