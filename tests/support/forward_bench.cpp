#include "support/forward_bench.h"

namespace dotterel::support {

namespace {

Route route(const std::string &prefix, RouteKind kind, const std::string &pool, Duration goal)
{
    Route result;
    result.name = prefix;
    result.hostName = "shop";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.pools = {{pool, 1}};
    result.latencyGoal = goal;
    result.timeout = std::chrono::seconds(2);
    result.maxAttempts = kind == RouteKind::AtMostOnce ? 1 : 2;
    return result;
}

} // namespace

EngineProfile dataSheetEngine()
{
    EngineProfile engine;
    engine.slots = 16;
    engine.memoryTokens = 405'000;
    engine.baseStepMs = 1.31;
    engine.stepMsPerSequence = 0.000917;
    engine.stepMsPerThousandContextTokens = 0.00213;
    engine.prefillTokensPerMs = 154;
    engine.attentionMsPerMillionPairs = 0.162;
    engine.prefillChunkTokens = 2'048;
    engine.stepsPerPass = 34;
    engine.supportsSplitPrefill = true;
    return engine;
}

std::string SentAttempt::header(const char *name) const
{
    const std::string *value = findHeader(this->request.headers, name);
    return value == nullptr ? std::string() : *value;
}

ForwardBench::ForwardBench(std::uint32_t hostHash, const ServerFleetTimings &timings)
    : fleet(timings, this->log, hostHash)
    , promptPlacement(PromptPlacementSettings{}, "centro-a", this->fleet, this->random)
    , servicePlacement("centro-a", this->fleet, this->random)
    , retryBudget(RetryBudgetLimits{})
    , crashGuard(CrashLimits{}, this->metrics, this->log)
    , partGuard(PromptPartLimits{}, this->metrics, this->log)
    , reach(this->log)
    , relayPeers("centro-a", this->random)
    , controller(this->protocol, this->fleet, this->promptPlacement, this->servicePlacement,
                 this->retryBudget, this->crashGuard, this->partGuard, this->reach,
                 this->relayPeers, *this, this->random, "h1", hostHash, this->metrics, this->log)
{
    using std::chrono::milliseconds;
    this->configuration.version = 1;
    this->configuration.routes = {
            route("/orders/", RouteKind::AtMostOnce, "app", milliseconds(150)),
            route("/lookups/", RouteKind::Idempotent, "app", milliseconds(150)),
            route("/questions/", RouteKind::Stream, "engines", milliseconds(300)),
            route("/archives/", RouteKind::Stream, "engines", milliseconds(4'000))};
    for (Route &stream : this->configuration.routes) {
        if (stream.kind != RouteKind::Stream)
            continue;
        stream.resumable = true;
        stream.timeout = std::chrono::seconds(15);
        stream.eventGapGoal = milliseconds(stream.name == "/archives/" ? 1'000 : 250);
    }
    this->configuration.pools["app"] = {"app", 100, std::nullopt};
    this->configuration.pools["engines"] = {"engines", 100, dataSheetEngine()};
    this->configuration.requiresApiKeys = true;
    this->configuration.workspacesByApiKey["key"] = {"cakes", std::nullopt};
    this->applyConfiguration();
}

void ForwardBench::applyConfiguration()
{
    this->fleet.setPools(this->configuration.pools);
    this->controller.setRouteTable(std::make_shared<RouteTable>(
            std::make_shared<const GatewayConfiguration>(this->configuration)));
}

void ForwardBench::addServer(const ServerId &id, const std::string &pool)
{
    GatewayServer server;
    server.id = id;
    server.pool = pool;
    server.failureDomain = "centro-a";
    server.endpoint = {"127.0.0.1", 80};
    server.slots = 6;
    this->fleet.put(server, this->now);
}

HttpCallId ForwardBench::request(const std::string &target, const HttpHeaders &headers,
                                 const std::string &body)
{
    HttpMessageHead head;
    head.method = "POST";
    head.target = target;
    head.headers = {{"Host", "shop"}, {"Id", "r" + std::to_string(this->nextCall)}};
    if (findHeader(headers, "Key") == nullptr)
        head.headers.emplace_back("Key", "key");
    head.headers.insert(head.headers.end(), headers.begin(), headers.end());
    const HttpCallId call = this->nextCall++;
    this->controller.onRequest(call, std::move(head), std::make_shared<const std::string>(body),
                               this->now);
    return call;
}

void ForwardBench::respond(std::size_t index, int status, const HttpHeaders &headers,
                           const std::string &body)
{
    const ForwardAttemptId id = this->sentAttempts.at(index).id;
    this->controller.onAttemptHead(id, status, headers, this->now);
    if (!body.empty())
        this->controller.onAttemptData(id, body, this->now);
    this->controller.onAttemptComplete(id, this->now);
}

void ForwardBench::failAttempt(std::size_t index, HttpFailureKind kind, Verdict verdict,
                               bool reusedConnection)
{
    this->controller.onAttemptFailed(this->sentAttempts.at(index).id,
                                     {kind, verdict, reusedConnection}, this->now);
}

void ForwardBench::advanceTime(Duration duration)
{
    const TimePoint end = this->now + duration;
    std::size_t steps = 0;
    constexpr std::size_t MaxSteps = 10'000; // Ends the loop if a timer is always due.
    while (this->controller.nextTimer() && *this->controller.nextTimer() <= end
           && ++steps < MaxSteps) {
        this->now = std::max(this->now, *this->controller.nextTimer());
        this->controller.onTimer(this->now);
    }
    this->now = end;
}

void ForwardBench::sendAttempt(ForwardAttemptId attempt, const HttpRequest &request)
{
    this->sentAttempts.push_back({attempt, request, false});
}

void ForwardBench::cancelAttempt(ForwardAttemptId attempt)
{
    for (SentAttempt &candidate : this->sentAttempts)
        candidate.cancelled = candidate.cancelled || candidate.id == attempt;
}

void ForwardBench::pauseAttempt(ForwardAttemptId /*attempt*/, bool paused)
{
    this->pauseCalls.push_back(paused);
}

void ForwardBench::sendReservationRequest(const MemoryReservationRequest &request)
{
    this->reservationRequests.push_back(request);
    if (this->grantsMemory && request.tokens > 0)
        this->controller.onReservationResult(request.reservationId, true, this->now);
}

void ForwardBench::probeServer(const GatewayServer &server)
{
    this->probedServers.push_back(server.id);
}

void ForwardBench::sendResponse(HttpCallId call, int status, const HttpHeaders &headers,
                                std::string_view body)
{
    this->outcomes[call] = {status, headers, std::string(body), true, false};
}

void ForwardBench::startResponse(HttpCallId call, int status, const HttpHeaders &headers,
                                 std::optional<std::uint64_t> /*length*/)
{
    this->outcomes[call].status = status;
    this->outcomes[call].headers = headers;
}

std::size_t ForwardBench::sendResponseData(HttpCallId call, std::string_view bytes)
{
    this->outcomes[call].body.append(bytes);
    return this->queuedBytes;
}

void ForwardBench::endResponse(HttpCallId call)
{
    this->outcomes[call].ended = true;
}

void ForwardBench::abortResponse(HttpCallId call)
{
    this->outcomes[call].aborted = true;
}

void ForwardBench::publishPromptUpdate(const PromptUpdate &item)
{
    this->promptUpdates.push_back(item);
}

void ForwardBench::publishServerLeaving(const ServerLeavingNotice &notice)
{
    this->leavingNotices.push_back(notice);
}

void ForwardBench::sendRetryAsk(std::uint32_t host, const RetryAsk &ask)
{
    this->retryAsks.push_back({host, ask});
}

void ForwardBench::sendRetryLoan(std::uint32_t /*host*/, const RetryLoan &loan)
{
    this->retryLoans.push_back(loan);
}

void ForwardBench::publishServerWarmUp(const ServerWarmUpNotice &notice)
{
    this->warmUpNotices.push_back(notice);
}

void ForwardBench::publishServerLimit(const ServerLimitNotice &notice)
{
    this->limitNotices.push_back(notice);
}

void ForwardBench::publishCrashNotice(const CrashNotice &notice)
{
    this->crashNotices.push_back(notice);
}

} // namespace dotterel::support
