#include "platform/soak/soak_server.h"

namespace dotterel::soak {

namespace {

constexpr std::size_t MostBodyBytes = 1UL << 20U;
constexpr int ShortestWorkMs = 2;
constexpr int WorkSpreadMs = 40;
constexpr Duration BetweenEvents = std::chrono::milliseconds(25);
/// Of the requests at a server with a fault, the share that meets it.
constexpr double FaultyShare = 0.5;

} // namespace

SoakServer::SoakServer(EventLoop &loop, const std::string &id, const std::string &pool,
                       SoakRecord &record, RandomSource &random)
    : loop(loop)
    , id(id)
    , pool(pool)
    , record(record)
    , random(random)
    , server(loop, Endpoint(), MostBodyBytes,
             [this](const HttpExchangePointer &exchange) { this->handle(exchange); })
    , proxy(loop, this->server.endpoint())
{}

nlohmann::json SoakServer::entry(bool draining) const
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

void SoakServer::later(Duration delay, std::function<void()> action)
{
    const auto place = this->delays.emplace(this->delays.end());
    *place = this->loop.after(delay, [this, place, action = std::move(action)] {
        action();
        this->delays.erase(place);
    });
}

void SoakServer::handle(const HttpExchangePointer &exchange)
{
    const std::string request = exchange->header("X-Request-Id");
    const std::string expected = exchange->header("X-Expect-Instance");
    const HttpHeaders notRun = {{"X-Not-Executed", "1"}, {"X-Request-Id", request}};
    if (!expected.empty() && expected != this->id)
        return exchange->reply(421, notRun, "");
    if (request.empty())
        return exchange->reply(400, notRun, "");
    const bool isFaulty =
            this->fault != ServerFault::None && this->random.nextDouble() < FaultyShare;
    if (isFaulty && this->fault == ServerFault::Refusing)
        return exchange->reply(503, notRun, "");
    this->record.onRan(request, this->id);
    if (exchange->header("X-Tenant") != "cakes" || !exchange->header("Api-Key").empty())
        this->record.note("unasked: " + request + " ran without its workspace or with the key");
    if (isFaulty && this->fault == ServerFault::Mute) {
        this->unanswered.push_back(exchange);
        return;
    }
    const Duration work = std::chrono::milliseconds(
            ShortestWorkMs + static_cast<int>(this->random.nextBelow(WorkSpreadMs)));
    if (isFaulty && this->fault == ServerFault::LosesAnswers)
        return this->later(work, [exchange] { exchange->abort(); });
    const bool cuts = isFaulty && this->fault == ServerFault::Cuts;
    this->later(work, [this, exchange, request, cuts] {
        if (!cuts)
            return this->run(exchange, request);
        exchange->startReply(200,
                             {{"X-Request-Id", request}, {"X-Server-Seal", "seal-" + request}});
        exchange->sendChunk("answer");
        this->later(BetweenEvents, [exchange] { exchange->abort(); });
    });
}

void SoakServer::run(const HttpExchangePointer &exchange, const std::string &request)
{
    HttpHeaders headers = {{"X-Request-Id", request}, {"X-Server-Seal", "seal-" + request}};
    const SoakRequest *known = this->record.find(request);
    const bool streams =
            known != nullptr
            && (known->kind == RequestKind::Stream || known->kind == RequestKind::Story);
    if (!streams)
        return exchange->reply(200, headers, SoakRecord::plainBody(request));
    headers.emplace_back("Content-Type", "text/event-stream");
    exchange->startReply(200, headers);
    const std::string last = exchange->header("Last-Event-Id");
    this->sendEvents(exchange, request, last.empty() ? 1 : std::stoi(last) + 1);
}

void SoakServer::sendEvents(const HttpExchangePointer &exchange, const std::string &request,
                            int next)
{
    if (next > StreamEvents)
        return exchange->endReply();
    exchange->sendChunk(SoakRecord::event(request, next));
    this->later(BetweenEvents,
                [this, exchange, request, next] { this->sendEvents(exchange, request, next + 1); });
}

} // namespace dotterel::soak
