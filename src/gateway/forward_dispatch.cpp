#include "gateway/forward_controller.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Less time than this is not worth an attempt.
constexpr Duration LeastAttemptTime = std::chrono::milliseconds(20);
/// A connection inside a deployment takes a few milliseconds; a lost packet costs one second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// Further attempts that never reached a server, for one request.
constexpr std::size_t MostUnreached = 4;
/// The transport's own timeout comes this long after the deadline, so that the deadline decides.
constexpr Duration TransportMargin = std::chrono::seconds(1);
/// Servers that were lost are replaced, or trusted again, within about this time.
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);
/// Callers that are refused together return over this share of the wait.
constexpr double ReturnSpread = 0.25;
/// Of a route's timeout: the least and the mean patience of callers that ask for the first time.
constexpr double LeastFirstPatience = 0.84;
constexpr double MeanFirstPatience = 0.92;
/// Callers leave a stream after a gap of the longest of these: a fixed time, goals, pauses.
constexpr Duration LeastStreamPatience = std::chrono::seconds(2);
constexpr int GoalsOfPatience = 4;
constexpr int PausesOfPatience = 8;
/// An attempt that is silent for this many goals, or predicted times, is given up if another server
/// may try. It stays below what callers bear.
constexpr int GoalsOfSilence = 2;
constexpr int PredictionsOfSilence = 3;
constexpr int PausesOfSilence = 6;
constexpr Duration LeastSilence = std::chrono::milliseconds(600);
constexpr Duration LeastStreamSilence = std::chrono::milliseconds(1'600);

Duration streamPatience(const Route &route)
{
    return std::max({LeastStreamPatience, route.goal * GoalsOfPatience,
                     route.pauseGoal * PausesOfPatience});
}

std::string joined(const std::vector<PrefillHelper> &helpers)
{
    std::string text;
    for (const PrefillHelper &helper : helpers)
        text += (text.empty() ? "" : ",") + helper.server;
    return text;
}

/// Returns how long the caller has waited before this request, if it shows: one that returns has
/// spent part of the time that first attempts have, which differ by a sixth.
Duration timeBefore(const ForwardCall &call)
{
    const Duration whole = call.route->timeout;
    const Duration patience = call.facts.patience.value_or(whole);
    if (toSeconds(patience) >= toSeconds(whole) * LeastFirstPatience)
        return Duration::zero();
    return fromSeconds(toSeconds(whole) * MeanFirstPatience) - patience;
}

} // namespace

void ForwardController::dispatch(ForwardCall &call, TimePoint now)
{
    if (call.deadline - now < LeastAttemptTime)
        return this->refuse(call, Reason::DeadlineExceeded, std::nullopt, now);
    if (!this->crashes.empty() && this->crashes.refuses(this->fingerprintOf(call), now))
        return this->refuse(call, Reason::CrashesBackendServers, std::nullopt, now,
                            call.fingerprint);
    // Further attempts stay in the pool of the first one.
    if (call.pool.empty()) {
        call.pool = this->choosePool(call);
        this->retries.onRequest(call.pool, now);
    }
    const auto pool = call.configuration->pools.find(call.pool);
    if (pool == call.configuration->pools.end())
        return this->refuse(call, Reason::NoBackendServer, NoServerRetryAfter, now, call.pool);
    if (pool->second.engine && call.facts.promptTokens > 0)
        this->dispatchPrompt(call, pool->second, now);
    else
        this->dispatchService(call, pool->second, now);
}

std::string ForwardController::choosePool(const ForwardCall &call)
{
    const std::vector<RouteTarget> &targets = call.route->targets;
    if (targets.empty())
        return {};
    std::uint64_t sum = 0;
    for (const RouteTarget &target : targets)
        sum += target.weight;
    if (sum == 0)
        return targets.front().pool;
    std::uint64_t draw = this->random.below(sum);
    for (const RouteTarget &target : targets) {
        if (draw < target.weight)
            return target.pool;
        draw -= target.weight;
    }
    return targets.back().pool;
}

PromptDemand ForwardController::demandOf(const ForwardCall &call, TimePoint now) const
{
    const Route &route = *call.route;
    PromptDemand demand;
    demand.promptTokens = call.facts.promptTokens;
    demand.outputTokens = call.facts.outputTokens;
    demand.firstEventTarget = route.goal;
    demand.maxEventGap = route.pauseGoal;
    const Duration before = timeBefore(call);
    demand.refusedBefore = before > Duration::zero();
    demand.answerStarted = call.answerBegun;
    demand.elapsed = before + (now - call.arrived);
    demand.callerTimeLeft =
            std::min(call.deadline - now, streamPatience(route) - (now - call.arrived));
    demand.value = promptValue(this->prompts.activeSettings().valueModel, demand.promptTokens,
                               demand.outputTokens, route.pauseGoal);
    return demand;
}

void ForwardController::dispatchPrompt(ForwardCall &call, const ServerPool &pool, TimePoint now)
{
    call.demand = this->demandOf(call, now);
    const PromptPlacementResult decision = this->prompts.place(pool, call.demand, call.tried, now);
    if (!decision.plan) {
        const Reason reason =
                decision.hasUsableServer ? Reason::DeadlineUnreachable : Reason::NoBackendServer;
        const Duration wait = decision.hasUsableServer ? decision.retryAfter : NoServerRetryAfter;
        const Duration spread = fromSeconds(toSeconds(wait) * ReturnSpread * this->random.unit());
        return this->refuse(call, reason, wait + spread, now,
                            "loss " + std::to_string(decision.bestLoss) + " of "
                                    + std::to_string(call.demand.value));
    }
    const bool needsMemory =
            std::any_of(decision.plan->helpers.begin(), decision.plan->helpers.end(),
                        [](const PrefillHelper &helper) { return helper.memoryTokens > 0; });
    if (needsMemory)
        this->reserveMemory(call, *decision.plan, now);
    else
        this->sendPrompt(call, *decision.plan, now);
}

void ForwardController::sendPrompt(ForwardCall &call, const PromptPlan &plan, TimePoint now)
{
    const GatewayServer *server = this->fleet.find(plan.server);
    const auto pool = call.configuration->pools.find(call.pool);
    if (server == nullptr)
        return this->refuse(call, Reason::NoBackendServer, NoServerRetryAfter, now, plan.server);
    call.attempt = ForwardAttempt();
    call.attempt->isPrompt = true;
    call.attempt->predicted = plan.timeToFirstEvent;
    this->sendTo(call, *server, plan.helpers, false, now);
    this->noteDispatch(call, pool->second, plan.memoryTokens, now);
}

void ForwardController::dispatchService(ForwardCall &call, const ServerPool &pool, TimePoint now)
{
    const std::optional<ServerId> chosen = this->services.place(pool.name, call.tried, now);
    if (!chosen)
        return this->refuse(call, Reason::NoBackendServer, NoServerRetryAfter, now, pool.name);
    call.attempt = ForwardAttempt();
    call.attempt->predicted = call.route->goal;
    this->services.onDispatched(*chosen);
    // A connection that the server closes meanwhile would leave the outcome of a request that must
    // not run twice unknown for no reason.
    this->sendTo(call, *this->fleet.find(*chosen), {}, !call.route->repeatable(), now);
}

void ForwardController::sendTo(ForwardCall &call, const GatewayServer &server,
                               const std::vector<PrefillHelper> &helpers, bool fresh, TimePoint now)
{
    ForwardAttempt &attempt = *call.attempt;
    attempt.id = this->nextAttempt++;
    attempt.server = server.id;
    attempt.helpers = helpers;
    call.paused = false; // Of the attempt before.
    attempt.sent = now;
    attempt.heard = now;
    this->attempts.emplace(attempt.id, call.id);
    ++call.sends;
    call.tried.insert(server.id);
    DispatchFacts facts;
    facts.timeLeft = call.deadline - now;
    facts.expectedServer = server.id;
    facts.workspace = call.workspace;
    for (const PrefillHelper &helper : helpers) {
        const GatewayServer *known = this->fleet.find(helper.server);
        if (known == nullptr)
            continue;
        const auto ticket = std::find_if(
                call.tickets.begin(), call.tickets.end(),
                [&helper](const MemoryTicket &other) { return other.server == helper.server; });
        facts.helpers.push_back(
                {known->endpoint, ticket == call.tickets.end() ? std::string() : ticket->id});
    }
    facts.resumeAfter = call.lastEvent ? call.lastEvent : call.facts.resumeAfter;
    HttpRequest request;
    request.endpoint = server.endpoint;
    request.method = call.head.method;
    request.target = call.head.target;
    request.headers = this->protocol.dispatchHeaders(call.head.headers, facts);
    request.body = call.body;
    // The call ends at its deadline by itself; this bounds one that nobody ends.
    request.timeout = facts.timeLeft + TransportMargin;
    request.connectTimeout = ConnectTimeout;
    request.freshConnection = fresh;
    request.echo = this->protocol.echo(call.facts);
    this->log.write(
            Event::AttemptStarted,
            {{"request", call.facts.requestId},
             {"route", call.route->name},
             {"server", server.id},
             {"helpers", joined(helpers)},
             {"prompt_tokens", static_cast<std::int64_t>(call.facts.promptTokens)},
             {"predicted_ms", static_cast<std::int64_t>(attempt.predicted.count() / 1'000)},
             {"prompts_there", static_cast<std::int64_t>(this->prompts.promptCountOn(server.id))},
             {"time_left_ms", static_cast<std::int64_t>(facts.timeLeft.count() / 1'000)},
             {"configuration", static_cast<std::int64_t>(call.configuration->version)}});
    this->effects.sendAttempt(attempt.id, request);
    this->schedule(call, now);
}

void ForwardController::noteDispatch(ForwardCall &call, const ServerPool &pool,
                                     std::uint64_t memoryTokens, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    EnginePrompt prompt;
    prompt.key = {this->sender, attempt.id};
    prompt.demand = call.demand;
    prompt.prefillEngines = attempt.helpers.size() + 1;
    prompt.dispatchedAt = now;
    prompt.memoryTokens = memoryTokens;
    this->prompts.onDispatched(attempt.server, *pool.engine, prompt, now);
    PromptUpdate item;
    item.kind = PromptUpdateKind::Dispatched;
    item.sequence = attempt.id;
    item.serverHash = hash32(attempt.server);
    item.demand = call.demand;
    prompt.isHelper = true;
    for (const PrefillHelper &helper : attempt.helpers) {
        prompt.memoryTokens = helper.memoryTokens;
        this->prompts.onDispatched(helper.server, *pool.engine, prompt, now);
        item.helperHashes.push_back(hash32(helper.server));
        item.helperMemoryTokens.push_back(helper.memoryTokens);
    }
    this->effects.tellPrompt(item);
}

TimePoint ForwardController::attemptLimit(const ForwardCall &call) const
{
    const ForwardAttempt &attempt = *call.attempt;
    const Route &route = *call.route;
    if (!route.repeatable())
        return call.deadline;
    if (route.kind == RouteKind::Stream && attempt.firstEvent)
        return attempt.heard + std::max(LeastStreamSilence, route.pauseGoal * PausesOfSilence);
    const Duration silence = std::max(
            {LeastSilence, route.goal * GoalsOfSilence, attempt.predicted * PredictionsOfSilence});
    return attempt.sent + silence;
}

bool ForwardController::mayRepeat(const ForwardCall &call, Verdict verdict, TimePoint now) const
{
    if (verdict != Verdict::NotRun && !call.route->repeatable())
        return false;
    if (call.deadline - now < LeastAttemptTime)
        return false;
    return call.sends < call.route->maxAttempts && call.unreached < MostUnreached;
}

void ForwardController::attemptLost(ForwardCall &call, const AttemptLoss &loss, TimePoint now)
{
    const bool reached = loss.reason != RetryReason::ConnectFailed;
    if (!reached || loss.stale) {
        // The server saw nothing of it, so that it does not count among the servers tried.
        --call.sends;
        ++call.unreached;
    }
    if (loss.verdict != Verdict::NotRun)
        call.mayHaveRun = true;
    if (!this->mayRepeat(call, loss.verdict, now)) {
        Reason reason = reached ? Reason::BackendRefused : Reason::NoBackendServer;
        if (call.mayHaveRun)
            reason = Reason::BackendFailed;
        return this->refuse(call, reason, NoServerRetryAfter, now);
    }
    if (reached && !loss.paid && !this->retries.withdraw(call.pool, now)) {
        this->metrics.count(Counter::RetriesWithheld, 1);
        return this->refuse(call, Reason::RetryBudgetExhausted, NoServerRetryAfter, now);
    }
    this->metrics.countRetry(loss.reason);
    this->dispatch(call, now);
}

} // namespace dotterel
