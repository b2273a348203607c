#pragma once

#include "coordination/crash_guard.h"
#include "core/metrics.h"
#include "gateway/forward_call.h"
#include "gateway/prompt_placement.h"
#include "gateway/retry_allowance.h"

#include <map>
#include <set>

namespace dotterel {

/// Forwards requests to backend servers: matches routes and keys, places, repeats what may be
/// repeated, goes on with broken streams, and gives every request one final answer by its deadline.
/// Pure: driven by what callers and servers do and by the time.
class ForwardController
{
public:
    ForwardController(const GatewayProtocol &protocol, ServerFleet &fleet, PromptPlacement &prompts,
                      ServicePlacement &services, RetryAllowance &retries, CrashGuard &crashes,
                      ForwardEffects &effects, RandomSource &random, std::uint32_t sender,
                      Metrics &metrics, EventLog &log);

    /// Puts \a table into force for requests that arrive from now on.
    void setRoutes(std::shared_ptr<const RouteTable> table) { this->routes = std::move(table); }

    /// A whole request arrived.
    void onRequest(HttpCallId call, HttpHead &&head, std::shared_ptr<const std::string> body,
                   TimePoint now);

    /// The caller closed its connection.
    void onCallerGone(HttpCallId call, TimePoint now);

    /// The caller has taken what was sent.
    void onCallerDrained(HttpCallId call);

    /// What became of an attempt.
    void onAttemptHead(ForwardAttemptId attempt, int status, const HttpHeaders &headers,
                       TimePoint now);
    void onAttemptData(ForwardAttemptId attempt, std::string_view bytes, TimePoint now);
    void onAttemptComplete(ForwardAttemptId attempt, TimePoint now);
    void onAttemptFailed(ForwardAttemptId attempt, const HttpFailure &failure, TimePoint now);

    /// An engine has answered the order for \a ticket.
    void onMemoryAnswered(const std::string &ticket, bool granted, TimePoint now);

    /// Ends calls and attempts whose time is up.
    void onTimer(TimePoint now);

    /// When onTimer() is due next, if ever.
    std::optional<TimePoint> nextTimer() const;

    /// Requests without a final answer.
    std::size_t inFlight() const { return this->calls.size(); }

private:
    bool admit(ForwardCall &call, TimePoint now);
    void dispatch(ForwardCall &call, TimePoint now);
    void dispatchPrompt(ForwardCall &call, const ServerPool &pool, TimePoint now);
    void dispatchService(ForwardCall &call, const ServerPool &pool, TimePoint now);
    void sendPrompt(ForwardCall &call, const PromptPlan &plan, TimePoint now);
    void sendTo(ForwardCall &call, const GatewayServer &server,
                const std::vector<PrefillHelper> &helpers, bool fresh, TimePoint now);

    void reserveMemory(ForwardCall &call, const PromptPlan &plan, TimePoint now);
    void orderTicket(const MemoryTicket &ticket);
    void memoryRefused(ForwardCall &call, TimePoint now);
    void releaseMemory(ForwardCall &call);
    bool onTicketsDue(ForwardCall &call, TimePoint now);
    std::string choosePool(const ForwardCall &call);
    PromptDemand demandOf(const ForwardCall &call, TimePoint now) const;
    void noteDispatch(ForwardCall &call, const ServerPool &pool, std::uint64_t memoryTokens,
                      TimePoint now);

    void passEvents(ForwardCall &call, std::string_view bytes, TimePoint now);
    void passPart(ForwardCall &call, std::string_view bytes);
    void beginAnswer(ForwardCall &call);
    void completeStream(ForwardCall &call, TimePoint now);
    void completeAnswer(ForwardCall &call, TimePoint now);

    /// How an attempt ended without an answer that can be passed on.
    struct AttemptLoss
    {
        Verdict verdict = Verdict::MayHaveRun;
        RetryReason reason = RetryReason::ServerFailed;
        bool stale = false; ///< The server had closed the idle connection.
        bool paid = false;  ///< A further attempt is taken out of the allowance already.
    };
    void attemptLost(ForwardCall &call, const AttemptLoss &loss, TimePoint now);
    void replaceOrPass(ForwardCall &call, bool spoiled, TimePoint now);
    bool mayRepeat(const ForwardCall &call, Verdict verdict, TimePoint now) const;
    void endAttempt(ForwardCall &call, AttemptOutcome evidence, TimePoint now);
    void dropAttempt(ForwardCall &call, TimePoint now);

    /// Gives the final answer for a request that could not be served.
    void refuse(ForwardCall &call, Reason reason, std::optional<Duration> retryAfter, TimePoint now,
                const std::string &detail = "");
    void finish(ForwardCall &call, int status, TimePoint now);
    void forget(ForwardCall &call);

    const std::string &fingerprintOf(ForwardCall &call);
    void noteCrash(ForwardCall &call, const ServerId &server, TimePoint now);
    TimePoint attemptLimit(const ForwardCall &call) const;
    void schedule(const ForwardCall &call, TimePoint now);
    ForwardCall *callOf(ForwardAttemptId attempt);
    void logAttempt(const ForwardCall &call, const char *outcome, Verdict verdict, TimePoint now);

    const GatewayProtocol &protocol;
    ServerFleet &fleet;
    PromptPlacement &prompts;
    ServicePlacement &services;
    RetryAllowance &retries;
    CrashGuard &crashes;
    ForwardEffects &effects;
    RandomSource &random;
    std::uint32_t sender;
    Metrics &metrics;
    EventLog &log;
    std::shared_ptr<const RouteTable> routes;
    ForwardAttemptId nextAttempt = 1;
    std::map<HttpCallId, ForwardCall> calls;
    std::map<ForwardAttemptId, HttpCallId> attempts;
    std::uint64_t nextTicket = 1;
    std::map<std::string, HttpCallId> tickets;
    std::set<std::pair<TimePoint, HttpCallId>> timers;
};

} // namespace dotterel
