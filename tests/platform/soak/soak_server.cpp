#include "platform/soak/soak_server.h"

namespace dotterel::soak {

namespace {

constexpr std::size_t MaxBodyBytes = 1UL << 20U;
constexpr int MinProcessingMs = 2;
constexpr int ProcessingSpreadMs = 40;
constexpr Duration EventInterval = std::chrono::milliseconds(25);
/// Share of the requests to a faulty server that are affected by its fault.
constexpr double FaultProbability = 0.5;

} // namespace

SoakServer::SoakServer(EventLoop &loop, const std::string &id, const std::string &pool,
                       SoakChecker &checker, SoakBounds &bounds, RandomSource &random)
    : loop(loop)
    , id(id)
    , pool(pool)
    , checker(checker)
    , bounds(bounds)
    , random(random)
    , server(loop, Endpoint(), MaxBodyBytes,
             [this](const HttpExchangePtr &exchange) { this->handleRequest(exchange); })
    , proxy(loop, this->server.endpoint())
{}

nlohmann::json SoakServer::registrationEntry(bool draining) const
{
    return {{"service", this->pool},
            {"address", this->proxy.endpoint().text()},
            {"zone", "z-0"},
            {"version", 1},
            {"slots", 8},
            {"state", draining ? "draining" : "ready"},
            {"cold_left_ms", 0},
            {"seq", 1},
            {"born", 1'700'000'000'000}};
}

void SoakServer::runAfter(Duration delay, std::function<void()> action)
{
    const auto position = this->delayTimers.emplace(this->delayTimers.end());
    *position = this->loop.after(delay, [this, position, action = std::move(action)] {
        action();
        this->delayTimers.erase(position);
    });
}

HttpHeaders SoakServer::announce(HttpHeaders headers, const std::string &requestId)
{
    if (!this->leaving)
        return headers;
    headers.emplace_back("Server-Leaving", "1");
    if (const SoakRequest *request = this->checker.find(requestId))
        this->bounds.onLeavingAnswered(this->id, request->host, this->loop.now());
    return headers;
}

void SoakServer::refuseForPause(const HttpExchangePtr &exchange, const std::string &requestId)
{
    const TimePoint now = this->loop.now();
    if (const SoakRequest *request = this->checker.find(requestId))
        this->bounds.onPauseAnswered(this->id, request->host, this->pauseEnd, now);
    exchange->reply(
            503,
            this->announce({{"X-Not-Executed", "1"},
                            {"X-Request-Id", requestId},
                            {"Retry-After", std::to_string(toSeconds(this->pauseEnd - now))}},
                           requestId),
            "");
}

void SoakServer::handleRequest(const HttpExchangePtr &exchange)
{
    const std::string requestId = exchange->header("X-Request-Id");
    const std::string expectedServer = exchange->header("X-Expect-Instance");
    HttpHeaders notRunHeaders = {{"X-Not-Executed", "1"}, {"X-Request-Id", requestId}};
    if (!expectedServer.empty() && expectedServer != this->id)
        return exchange->reply(421, notRunHeaders, "");
    if (requestId.empty())
        return exchange->reply(400, notRunHeaders, "");
    if (const SoakRequest *request = this->checker.find(requestId))
        this->bounds.onArrival(requestId, *request, this->id, this->loop.now());
    if (this->pauseEnd > this->loop.now())
        return this->refuseForPause(exchange, requestId);
    const bool injectsFault =
            this->fault != ServerFault::None && this->random.nextDouble() < FaultProbability;
    if (injectsFault && this->fault == ServerFault::RejectRequests)
        return exchange->reply(503, this->announce(notRunHeaders, requestId), "");
    this->checker.onExecutionStarted(requestId, this->id);
    if (exchange->header("X-Tenant") != "cakes" || !exchange->header("Api-Key").empty())
        this->checker.addViolation(
                "wrong request: " + requestId
                + " reached the server without its workspace or with the API key");
    if (injectsFault && this->fault == ServerFault::NeverRespond) {
        this->heldExchanges.push_back(exchange);
        return;
    }
    const Duration processingTime = std::chrono::milliseconds(
            MinProcessingMs + static_cast<int>(this->random.nextBelow(ProcessingSpreadMs)));
    if (injectsFault && this->fault == ServerFault::DropResponses)
        return this->runAfter(processingTime, [exchange] { exchange->abort(); });
    const bool truncates = injectsFault && this->fault == ServerFault::TruncateResponses;
    this->runAfter(processingTime, [this, exchange, requestId, truncates] {
        if (!truncates)
            return this->sendResponse(exchange, requestId);
        exchange->startReply(200,
                             {{"X-Request-Id", requestId}, {"X-Server-Seal", "seal-" + requestId}});
        exchange->sendChunk("answer");
        this->runAfter(EventInterval, [exchange] { exchange->abort(); });
    });
}

void SoakServer::sendResponse(const HttpExchangePtr &exchange, const std::string &requestId)
{
    HttpHeaders headers = this->announce(
            {{"X-Request-Id", requestId}, {"X-Server-Seal", "seal-" + requestId}}, requestId);
    const SoakRequest *knownRequest = this->checker.find(requestId);
    const bool isStream = knownRequest != nullptr
                          && (knownRequest->kind == RequestKind::ResumableStream
                              || knownRequest->kind == RequestKind::NonResumableStream);
    if (!isStream)
        return exchange->reply(200, headers, SoakChecker::expectedBody(requestId));
    headers.emplace_back("Content-Type", "text/event-stream");
    exchange->startReply(200, headers);
    const std::string lastEventId = exchange->header("Last-Event-Id");
    this->sendEvents(exchange, requestId, lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1);
}

void SoakServer::sendEvents(const HttpExchangePtr &exchange, const std::string &requestId,
                            int nextEvent)
{
    if (nextEvent > EventsPerStream)
        return exchange->endReply();
    exchange->sendChunk(SoakChecker::expectedEvent(requestId, nextEvent));
    this->runAfter(EventInterval, [this, exchange, requestId, nextEvent] {
        this->sendEvents(exchange, requestId, nextEvent + 1);
    });
}

} // namespace dotterel::soak
