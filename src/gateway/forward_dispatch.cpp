#include "gateway/forward_controller.h"

#include "core/hashing.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace dotterel {

namespace {

/// Maximum number of failed connects and connections lost at once per request. They are not counted
/// against the attempts of the route.
constexpr std::size_t MaxConnectionFailures = 4;
/// The timeout of the HTTP client exceeds the deadline by this margin, so that the deadline of the
/// request takes effect first.
constexpr Duration TransportTimeoutMargin = std::chrono::seconds(1);
/// Retry delay sent to callers if no server is usable or no retry is allowed. Failed servers are
/// replaced, or considered usable again, within about this time.
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);
/// Retry delay if all servers of a pool are in failure domains that operators have put out of
/// service. Operators take at least seconds to put one back.
constexpr Duration OutOfServiceRetryAfter = std::chrono::seconds(2);
/// Maximum jitter added to the retry delay, as a fraction of it. It spreads the retries of callers
/// that were refused at the same time.
constexpr double RetryAfterJitter = 0.25;
/// Limits on the inactivity of an attempt before it is retried at another server. Before the first
/// event it is the longest of a minimum, a multiple of the latency goal and a multiple of the
/// predicted time, all counted from dispatch; after it, a minimum or a multiple of the event gap
/// goal, counted from the last event: a stalled server may still send a byte now and then. All
/// limits are shorter than the time after which callers give up.
constexpr int InactivityLatencyGoalFactor = 2;
constexpr int InactivityPredictedTimeFactor = 3;
constexpr int InactivityEventGapGoalFactor = 6;
constexpr Duration MinInactivityLimit = std::chrono::milliseconds(600);
/// Part of the time until a caller abandons its stream for which a server that works on other
/// streams may leave it without an event.
constexpr double BusyServerPatienceFraction = 0.6;
constexpr Duration MinStreamInactivityLimit = std::chrono::milliseconds(1'600);

/// After a pause of this host, what servers sent meanwhile is read within this time.
constexpr Duration ReadingTimeAfterPause = std::chrono::milliseconds(200);

/// Describes the best plan for a prompt that was rejected.
std::string rejectionDetail(const PromptPlacementResult &decision, const PromptDemand &demand)
{
    if (!decision.bestPlan)
        return "no usable server";
    const PromptPlan &plan = *decision.bestPlan;
    std::array<char, 160> text{};
    std::snprintf(text.data(), text.size(),
                  "loses %.2f of %.2f: lateness %.2f, others %.2f; first event in %lld ms on %zu "
                  "engines",
                  plan.expectedLoss, demand.value, plan.latenessLoss, plan.interferenceLoss,
                  static_cast<long long>(plan.timeToFirstEvent.count() / 1'000),
                  plan.helpers.size() + 1);
    return text.data();
}

/// Returns the server ids of \a helpers, separated by commas.
std::string helperIds(const std::vector<PrefillHelper> &helpers)
{
    std::string text;
    for (const PrefillHelper &helper : helpers)
        text += (text.empty() ? "" : ",") + helper.server;
    return text;
}

} // namespace

void ForwardController::dispatch(ForwardCall &call, TimePoint now)
{
    if (call.deadline - now < MinAttemptTime)
        return this->refuse(call, Reason::DeadlineExceeded, std::nullopt, now);
    // Retries use the pool that was chosen for the first attempt.
    if (call.pool.empty()) {
        call.pool = this->choosePool(call);
        this->retryBudget.onRequest(call.pool, now);
    }
    if (this->relay(call, now))
        return;
    const bool isSettled = call.relay || this->reach.isConfirmed(call.pool);
    if (this->reach.isOutOfReach(call.pool) && isSettled)
        return this->refuseOutOfReach(call, now);
    if (const std::string suspect = this->refusedSuspect(call, now); !suspect.empty()) {
        this->probeCrashedServers(suspect, now);
        return this->refuse(call, Reason::CrashesBackendServers, std::nullopt, now, suspect);
    }
    const auto pool = call.configuration->pools.find(call.pool);
    if (pool == call.configuration->pools.end())
        return this->refuse(call, Reason::NoBackendServer, NoServerRetryAfter, now, call.pool);
    if (pool->second.engine && call.metadata.promptTokens > 0)
        this->dispatchPrompt(call, pool->second, now);
    else
        this->dispatchService(call, pool->second, now);
}

std::string ForwardController::choosePool(const ForwardCall &call)
{
    const std::vector<WeightedPool> &pools = call.route->pools;
    if (pools.empty())
        return {};
    std::uint64_t totalWeight = 0;
    for (const WeightedPool &candidate : pools)
        totalWeight += candidate.weight;
    if (totalWeight == 0)
        return pools.front().pool;
    std::uint64_t draw = this->random.nextBelow(totalWeight);
    for (const WeightedPool &candidate : pools) {
        if (draw < candidate.weight)
            return candidate.pool;
        draw -= candidate.weight;
    }
    return pools.back().pool;
}

PromptDemand ForwardController::makeDemand(const ForwardCall &call, TimePoint now) const
{
    const Route &route = *call.route;
    PromptDemand demand;
    demand.promptTokens = call.metadata.promptTokens;
    demand.outputTokens = call.metadata.outputTokens;
    demand.firstEventTarget = route.latencyGoal;
    demand.maxEventGap = route.eventGapGoal;
    const Duration waited = earlierWait(call);
    demand.refusedBefore = waited > Duration::zero();
    demand.answerStarted =
            call.responseStarted || (call.relay && call.relay->resumeAfter.has_value());
    demand.elapsed = waited + (now - call.arrivedAt);
    demand.fairnessDraw = call.fairnessDraw;
    demand.callerTimeLeft =
            std::min(call.deadline - now, streamAbandonTime(route) - (now - call.arrivedAt));
    const std::uint64_t expectedOutput = std::min(
            demand.outputTokens, call.metadata.expectedOutputTokens.value_or(demand.outputTokens));
    demand.value =
            promptValue(this->promptPlacement.activeSettings().valueModel, demand.promptTokens,
                        expectedOutput, route.eventGapGoal, call.priority);
    return demand;
}

std::set<ServerId> ForwardController::avoidedServers(const ForwardCall &call) const
{
    std::set<ServerId> servers = call.triedServers;
    // A first attempt may find that a dead server is back; a retry goes where others got an answer.
    if (call.connectionFailures > 0) {
        const std::set<ServerId> &dead = this->reach.deadServers(call.pool);
        servers.insert(dead.begin(), dead.end());
    }
    return servers;
}

void ForwardController::dispatchPrompt(ForwardCall &call, const ServerPool &pool, TimePoint now)
{
    call.demand = this->makeDemand(call, now);
    const PromptPlacementResult decision =
            this->promptPlacement.place(pool, call.demand, this->avoidedServers(call), now);
    if (this->hold(call, decision, now))
        return;
    if (!decision.plan && !decision.hasUsableServer && this->holdForLimit(call, now))
        return;
    if (!decision.plan && !decision.hasUsableServer)
        return this->refuseWithoutServer(call, now, rejectionDetail(decision, call.demand));
    if (!decision.plan) {
        const Duration jitter = fromSeconds(toSeconds(decision.retryAfter) * RetryAfterJitter
                                            * this->random.nextDouble());
        return this->refuse(call, Reason::DeadlineUnreachable, decision.retryAfter + jitter, now,
                            rejectionDetail(decision, call.demand));
    }
    const bool needsMemory =
            decision.plan->reservesMemory
            || std::any_of(decision.plan->helpers.begin(), decision.plan->helpers.end(),
                           [](const PrefillHelper &helper) { return helper.memoryTokens > 0; });
    if (needsMemory)
        this->reserveMemory(call, *decision.plan, now);
    else
        this->sendPrompt(call, *decision.plan, now);
}

bool ForwardController::hold(ForwardCall &call, const PromptPlacementResult &decision,
                             TimePoint now)
{
    const std::optional<Duration> wait = this->promptHold.recheckAfter(call.demand, decision);
    if (!wait || call.deadline - now < *wait + MinAttemptTime)
        return false;
    if (call.heldTime == Duration::zero())
        this->metrics.count(Counter::PromptsHeld, 1);
    call.heldUntil = now + *wait;
    call.heldTime += *wait;
    this->scheduleTimer(call, now);
    return true;
}

void ForwardController::sendPrompt(ForwardCall &call, const PromptPlan &plan, TimePoint now)
{
    const GatewayServer *server = this->fleet.find(plan.server);
    const auto pool = call.configuration->pools.find(call.pool);
    if (server == nullptr)
        return this->refuse(call, Reason::NoBackendServer, NoServerRetryAfter, now, plan.server);
    call.attempt = ForwardAttempt();
    call.attempt->isPrompt = true;
    call.attempt->predictedLatency = plan.timeToFirstEvent;
    this->sendAttempt(call, *server, plan.helpers, !call.unverifiedServer.empty(), now);
    this->recordPromptDispatch(call, pool->second, plan.memoryTokens, now);
}

void ForwardController::dispatchService(ForwardCall &call, const ServerPool &pool, TimePoint now)
{
    // A server that may have closed an idle connection is asked again on a new one: if it refuses
    // that, it has crashed, and no other server has run the request meanwhile.
    const bool verify = call.triedServers.count(call.unverifiedServer) == 0
                        && this->fleet.isUsable(call.unverifiedServer, now);
    const std::optional<ServerId> chosen =
            verify ? call.unverifiedServer
                   : this->servicePlacement.place(pool.name, this->avoidedServers(call), now);
    if (!chosen && this->holdForLimit(call, now))
        return;
    if (!chosen)
        return this->refuseWithoutServer(call, now, pool.name);
    call.attempt = ForwardAttempt();
    call.attempt->predictedLatency = call.route->latencyGoal;
    this->servicePlacement.onDispatched(*chosen);
    // Requests that must not run twice get a fresh connection: if the server closed a reused idle
    // connection meanwhile, it would be unknown whether the request has run.
    const bool requireNewConnection = !call.route->isRetryable() || !call.unverifiedServer.empty();
    this->sendAttempt(call, *this->fleet.find(*chosen), {}, requireNewConnection, now);
}

void ForwardController::sendAttempt(ForwardCall &call, const GatewayServer &server,
                                    const std::vector<PrefillHelper> &helpers,
                                    bool requireNewConnection, TimePoint now)
{
    ForwardAttempt &attempt = *call.attempt;
    attempt.id = this->nextAttemptId++;
    attempt.server = server.id;
    attempt.helpers = helpers;
    call.readingPaused = false; // May still be set by the previous attempt.
    attempt.sentAt = now;
    attempt.lastDataAt = now;
    this->callsByAttempt.emplace(attempt.id, call.id);
    ++call.attemptsSent;
    call.triedServers.insert(server.id);
    DispatchMetadata metadata;
    metadata.remainingTime = call.deadline - now;
    metadata.expectedServer = server.id;
    metadata.workspace = call.workspace;
    const std::string ownReservation = call.reservationIdAt(server.id);
    if (!ownReservation.empty())
        metadata.helpers.push_back({server.endpoint, ownReservation});
    for (const PrefillHelper &helper : helpers) {
        if (const GatewayServer *helperServer = this->fleet.find(helper.server))
            metadata.helpers.push_back(
                    {helperServer->endpoint, call.reservationIdAt(helper.server)});
    }
    metadata.resumeAfter = call.lastEventId ? call.lastEventId : call.metadata.resumeAfter;
    HttpRequest request;
    request.endpoint = server.endpoint;
    request.method = call.head.method;
    request.target = call.head.target;
    request.headers = this->protocol.dispatchHeaders(call.head.headers, metadata);
    request.body = call.body;
    // onTimer() ends the call at its deadline; this timeout is a fallback.
    request.timeout = metadata.remainingTime + TransportTimeoutMargin;
    request.connectTimeout = ConnectTimeout;
    request.requireNewConnection = requireNewConnection;
    request.echoedHeader = this->protocol.expectedEcho(call.metadata);
    this->log.write(
            Event::AttemptStarted,
            {{"request", call.metadata.requestId},
             {"route", call.route->name},
             {"server", server.id},
             {"helpers", helperIds(helpers)},
             {"prompt_tokens", static_cast<std::int64_t>(call.metadata.promptTokens)},
             {"predicted_ms", static_cast<std::int64_t>(attempt.predictedLatency.count() / 1'000)},
             {"prompts_there",
              static_cast<std::int64_t>(this->promptPlacement.promptCountOn(server.id))},
             {"held_ms", static_cast<std::int64_t>(call.heldTime.count() / 1'000)},
             {"time_left_ms", static_cast<std::int64_t>(metadata.remainingTime.count() / 1'000)},
             {"configuration", static_cast<std::int64_t>(call.configuration->version)}});
    this->effects.sendAttempt(attempt.id, request);
    this->countAgainstLimit(server.id, now);
    for (const PrefillHelper &helper : helpers)
        this->countAgainstLimit(helper.server, now);
    this->scheduleTimer(call, now);
}

void ForwardController::recordPromptDispatch(ForwardCall &call, const ServerPool &pool,
                                             std::uint64_t memoryTokens, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    EnginePrompt prompt;
    prompt.key = {this->senderHash, attempt.id};
    prompt.demand = call.demand;
    prompt.prefillEngines = attempt.helpers.size() + 1;
    prompt.dispatchedAt = now;
    prompt.memoryTokens = memoryTokens;
    this->promptPlacement.onDispatched(attempt.server, *pool.engine, prompt, now);
    this->fleet.onPromptDispatched(attempt.server, prompt, now);
    PromptUpdate update;
    update.kind = PromptUpdateKind::Dispatched;
    update.sequence = attempt.id;
    update.serverHash = hash32(attempt.server);
    update.demand = call.demand;
    prompt.isHelper = true;
    for (const PrefillHelper &helper : attempt.helpers) {
        prompt.memoryTokens = helper.memoryTokens;
        this->promptPlacement.onDispatched(helper.server, *pool.engine, prompt, now);
        update.helperHashes.push_back(hash32(helper.server));
        update.helperMemoryTokens.push_back(helper.memoryTokens);
    }
    call.attempt->dispatchUpdate = update;
    this->effects.publishPromptUpdate(update);
}

std::vector<RunningPrompt> ForwardController::runningPrompts(TimePoint now) const
{
    std::vector<RunningPrompt> result;
    for (const auto &[id, call] : this->calls) {
        if (!call.attempt || !call.attempt->isPrompt)
            continue;
        const ForwardAttempt &attempt = *call.attempt;
        const std::optional<Duration> prefillLeft =
                this->promptPlacement.prefillLeft(attempt.server, {this->senderHash, attempt.id});
        if (prefillLeft)
            result.push_back({attempt.dispatchUpdate, now - attempt.sentAt, *prefillLeft});
    }
    return result;
}

TimePoint ForwardController::inactivityDeadline(const ForwardCall &call) const
{
    const TimePoint limit = this->inactivityLimit(call);
    return this->resumedAt ? std::max(limit, *this->resumedAt + ReadingTimeAfterPause) : limit;
}

TimePoint ForwardController::inactivityLimit(const ForwardCall &call) const
{
    const ForwardAttempt &attempt = *call.attempt;
    const Route &route = *call.route;
    if (!route.isRetryable() || call.readingPaused)
        return call.deadline;
    if (route.kind == RouteKind::Stream && attempt.firstEventReceived)
        return attempt.lastEventAt
               + std::max(MinStreamInactivityLimit,
                          route.eventGapGoal * InactivityEventGapGoalFactor);
    const Duration inactivityLimit =
            std::max({MinInactivityLimit, route.latencyGoal * InactivityLatencyGoalFactor,
                      attempt.predictedLatency * InactivityPredictedTimeFactor});
    // A server that sends events of other streams is busy, not gone, and another one would have to
    // start from the beginning.
    const TimePoint due = attempt.sentAt + inactivityLimit;
    // The other host judges its server first.
    if (attempt.isRelayed())
        return due + MinInactivityLimit;
    const std::optional<TimePoint> lastSign = this->fleet.lastSignOfLife(attempt.server);
    if (!attempt.isPrompt || !lastSign)
        return due;
    const Duration patience =
            fromSeconds(toSeconds(streamAbandonTime(route)) * BusyServerPatienceFraction);
    return std::max(due, std::min(*lastSign + MinInactivityLimit, attempt.sentAt + patience));
}

bool ForwardController::mayRetry(const ForwardCall &call, Verdict verdict, TimePoint now) const
{
    if (verdict != Verdict::NotRun && !call.route->isRetryable())
        return false;
    // Only a stream can go on where another run has stopped, after the last event that it numbered.
    if (call.responseStarted && !call.lastEventId)
        return false;
    if (call.deadline - now < MinAttemptTime)
        return false;
    return call.attemptsSent < call.route->maxAttempts
           && call.connectionFailures < MaxConnectionFailures;
}

Duration ForwardController::delayWithoutServer(const std::string &pool, TimePoint now)
{
    std::optional<Duration> pause = this->fleet.pauseLeft(pool, now);
    if (this->fleet.isOutOfService(pool, now))
        pause = OutOfServiceRetryAfter;
    if (!pause)
        return NoServerRetryAfter;
    // All callers of the pool are refused until the same moment.
    const Duration delay = std::max(NoServerRetryAfter, *pause);
    return delay + fromSeconds(toSeconds(delay) * RetryAfterJitter * this->random.nextDouble());
}

void ForwardController::retryOrRefuse(ForwardCall &call, const AttemptFailure &failure,
                                      TimePoint now)
{
    this->endRetryWait(call);
    const bool connected = failure.reason != RetryReason::ConnectFailed;
    if (!connected || failure.lostAtOnce) {
        // The request did not reach the server as far as is known, so it does not count against the
        // attempts of the route.
        --call.attemptsSent;
        ++call.connectionFailures;
    }
    if (failure.verdict != Verdict::NotRun)
        call.mayHaveRun = true;
    if (!this->mayRetry(call, failure.verdict, now)) {
        Reason reason = connected ? Reason::BackendRefused : Reason::NoBackendServer;
        if (call.mayHaveRun)
            reason = Reason::BackendFailed;
        return this->refuse(call, reason, this->delayWithoutServer(call.pool, now), now);
    }
    if (connected && !failure.retryCharged && !this->tryConsumeRetry(call, now)) {
        if (this->awaitRetry(call, failure.reason, now))
            return;
        this->metrics.count(Counter::RetriesWithheld, 1);
        return this->refuse(call, Reason::RetryBudgetExhausted, NoServerRetryAfter, now);
    }
    this->metrics.countRetry(failure.reason);
    this->dispatch(call, now);
}

} // namespace dotterel
