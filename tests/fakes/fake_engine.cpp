#include "fakes/fake_engine.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel::fakes {

namespace {

constexpr std::size_t MostBodyBytes = 256UL * 1024 * 1024;
constexpr std::uint64_t BytesPerToken = 4;
const std::string CancelPrefix = "/v1/attempts/";
const std::string MemoryPath = "/v1/allocations";

} // namespace

FakeEngine::FakeEngine(EventLoop &loop, const Endpoint &endpoint, const EngineBehaviour &behaviour)
    : loop(loop)
    , client(loop)
    , behaviour(behaviour)
    , server(loop, endpoint, MostBodyBytes,
             [this](const HttpExchangePtr &exchange) { this->handle(exchange); })
{}

void FakeEngine::handle(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    if (this->crashed) {
        exchange->abort();
    } else if (this->behaviour.frozen) {
        this->unanswered.push_back(exchange);
    } else if (path.compare(0, MemoryPath.size(), MemoryPath) == 0) {
        this->handleMemory(exchange, path.size() > MemoryPath.size()
                                             ? path.substr(MemoryPath.size() + 1)
                                             : "");
    } else if (path == "/v1/completions") {
        this->complete(exchange);
    } else if (path.compare(0, CancelPrefix.size(), CancelPrefix) == 0) {
        const std::string rest = path.substr(CancelPrefix.size());
        this->cancel(rest.substr(0, rest.find('/')));
        this->allocations.erase(rest.substr(0, rest.find('/')));
        exchange->reply(200, {}, "");
    } else if (path == "/v1/load") {
        const nlohmann::json load = {{"queued_prompt_tokens", this->queuedTokens()},
                                     {"running_streams", this->attempts.size()},
                                     {"draining", this->behaviour.draining}};
        exchange->reply(200, {{"Content-Type", "application/json"}}, load.dump());
    } else {
        exchange->reply(404, {}, "");
    }
}

void FakeEngine::complete(const HttpExchangePtr &exchange)
{
    if (this->behaviour.draining) {
        exchange->reply(503, {{"X-Not-Run", "true"}, {"X-Draining", "true"}}, "");
        return;
    }
    const std::string body = exchange->takeBody();
    const std::string &marker = this->behaviour.crashMarker;
    if (!marker.empty() && body.find(marker) != std::string::npos) {
        this->crashed = true;
        for (const auto &[id, attempt] : this->attempts)
            attempt.exchange->abort();
        exchange->abort();
        // A process that died refuses connections.
        this->server.stopListening();
        return;
    }
    const std::string id = exchange->header("X-Attempt-Id");
    const std::string prepared = exchange->header("X-Allocation");
    const std::uint64_t tokens =
            std::strtoull(exchange->header("X-Prompt-Tokens").c_str(), nullptr, 10);
    if (!this->admitMemory(exchange, prepared, tokens))
        return;
    Attempt attempt;
    attempt.exchange = exchange;
    attempt.priority = std::atoll(exchange->header("X-Priority").c_str());
    attempt.promptTokens =
            prepared.empty() ? std::max<std::uint64_t>(1, body.size() / BytesPerToken) : 1;
    attempt.nextIndex = std::strtoull(exchange->header("X-Resume-At").c_str(), nullptr, 10);
    // Only the work stops with the connection; the memory waits for the attempt to be resumed.
    exchange->onClosed([this, id] { this->cancel(id); });
    this->allocations[id] = {
            exchange->header("X-Host"),
            exchange->header("X-Incarnation"),
            id,
            attempt.promptTokens,
            std::strtoull(exchange->header("X-Time-To-Live-Ms").c_str(), nullptr, 10),
            this->loop.now(),
            0};
    this->attempts[id] = std::move(attempt);
    this->queue.push_back(id);
    ++this->startedCount;
    this->startNextPrefill();
}

void FakeEngine::cancel(const std::string &attempt)
{
    this->queue.remove(attempt);
    this->attempts.erase(attempt);
    if (this->prefilling == attempt) {
        this->prefill.reset();
        this->prefilling.clear();
        this->startNextPrefill();
    }
}

void FakeEngine::startNextPrefill()
{
    if (!this->prefilling.empty() || this->queue.empty())
        return;
    const auto next = std::min_element(this->queue.begin(), this->queue.end(),
                                       [this](const std::string &left, const std::string &right) {
                                           return this->attempts.at(left).priority
                                                  < this->attempts.at(right).priority;
                                       });
    const std::string id = *next;
    this->queue.erase(next);
    this->prefilling = id;
    const double seconds = static_cast<double>(this->attempts.at(id).promptTokens)
                           / this->behaviour.prefillTokensPerSecond;
    this->prefill = this->loop.after(fromSeconds(seconds), [this, id] {
        this->prefilling.clear();
        this->attempts.at(id).exchange->startReply(200, {{"Content-Type", "text/event-stream"}});
        this->sendToken(id);
        this->startNextPrefill();
    });
}

void FakeEngine::sendToken(const std::string &id)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    Attempt &attempt = found->second;
    if (this->behaviour.cutAfterTokens > 0 && attempt.nextIndex >= this->behaviour.cutAfterTokens) {
        const HttpExchangePtr exchange = attempt.exchange;
        this->attempts.erase(found);
        exchange->endReply();
        return;
    }
    if (attempt.nextIndex >= this->behaviour.answerTokens) {
        const HttpExchangePtr exchange = attempt.exchange;
        exchange->sendChunk(encodeEngineEvent(AnswerEnd{id, this->behaviour.answerTokens}));
        this->allocations.erase(id);
        this->attempts.erase(found);
        exchange->endReply();
        return;
    }
    const std::uint64_t index = attempt.nextIndex++;
    attempt.exchange->sendChunk(encodeEngineEvent(AnswerToken{
            id, index,
            "t" + std::to_string(index) + " " + std::string(this->behaviour.tokenPadding, 'x')}));
    attempt.timer =
            this->loop.after(this->behaviour.tokenInterval, [this, id] { this->sendToken(id); });
}

std::uint64_t FakeEngine::memoryHeld() const
{
    std::uint64_t tokens = 0;
    for (const auto &[id, allocation] : this->allocations)
        tokens += allocation.tokens;
    return tokens;
}

bool FakeEngine::admitMemory(const HttpExchangePtr &exchange, const std::string &allocation,
                             std::uint64_t promptTokens)
{
    const auto prepared = this->allocations.find(allocation);
    const bool whole = allocation.empty()
                               ? promptTokens <= this->behaviour.memoryTokens
                               : prepared != this->allocations.end()
                                         && prepared->second.contextTokens == promptTokens;
    if (!whole)
        exchange->reply(409, {{"X-Not-Run", "true"}}, "");
    return whole;
}

void FakeEngine::prefillPart(const HttpExchangePtr &exchange, const std::string &id)
{
    const std::string source = exchange->header("X-Import-From");
    if (source.empty()) {
        this->finishPart(exchange, id, 0);
        return;
    }
    const std::size_t colon = source.find(':');
    const std::size_t slash = source.find('/');
    HttpRequest request;
    request.endpoint.address = source.substr(0, colon);
    request.endpoint.port = static_cast<std::uint16_t>(std::stoul(source.substr(colon + 1)));
    request.target = MemoryPath + source.substr(slash) + "/export";
    request.timeout = std::chrono::seconds(5);
    const auto place = this->imports.emplace(this->imports.end());
    *place = std::make_unique<HttpFetch>(
            this->client, request,
            [this, place, exchange, id](const std::optional<HttpResponse> &response,
                                        const HttpFailure &) {
                this->loop.disposeLater(std::shared_ptr<HttpFetch>(std::move(*place)));
                this->imports.erase(place);
                if (response && response->status == 200)
                    this->finishPart(exchange, id, std::stoull(response->body));
                else
                    exchange->reply(502, {}, "");
            });
}

void FakeEngine::finishPart(const HttpExchangePtr &exchange, const std::string &id,
                            std::uint64_t importedTokens)
{
    const std::uint64_t first =
            std::strtoull(exchange->header("X-First-Token").c_str(), nullptr, 10);
    const std::uint64_t tokens = std::strtoull(exchange->header("X-Tokens").c_str(), nullptr, 10);
    const auto found = this->allocations.find(id);
    if (found == this->allocations.end() || found->second.tokens < tokens
        || first != importedTokens) {
        exchange->reply(409, {{"X-Not-Run", "true"}}, "");
        return;
    }
    const double seconds = static_cast<double>(tokens) / this->behaviour.prefillTokensPerSecond;
    const auto place = this->partTimers.emplace(this->partTimers.end());
    *place = this->loop.after(fromSeconds(seconds), [this, exchange, id, first, tokens, place] {
        const auto allocation = this->allocations.find(id);
        if (allocation != this->allocations.end())
            allocation->second.contextTokens = first + tokens;
        exchange->reply(allocation == this->allocations.end() ? 409 : 200, {}, "");
        this->partTimers.erase(place);
    });
}

void FakeEngine::handleMemory(const HttpExchangePtr &exchange, const std::string &rest)
{
    const std::string id = rest.substr(0, rest.find('/'));
    const std::string verb = rest.size() > id.size() ? rest.substr(id.size() + 1) : "";
    const auto exported = this->allocations.find(id);
    if (verb == "prefill") {
        this->prefillPart(exchange, id);
    } else if (verb == "export" && exported != this->allocations.end()) {
        exchange->reply(200, {}, std::to_string(exported->second.contextTokens));
    } else if (exchange->method() == "GET") {
        exchange->reply(200, {{"Content-Type", "application/json"}}, this->listAllocations());
    } else if (exchange->method() == "PUT") {
        this->reserve(exchange, id);
    } else if (exchange->method() == "DELETE") {
        this->cancel(id);
        this->allocations.erase(id);
        exchange->reply(200, {}, "");
    } else {
        exchange->reply(404, {}, "");
    }
}

void FakeEngine::reserve(const HttpExchangePtr &exchange, const std::string &id)
{
    const nlohmann::json json = nlohmann::json::parse(exchange->takeBody());
    const std::uint64_t tokens = json.at("tokens").get<std::uint64_t>();
    if (this->memoryHeld() + tokens > this->behaviour.memoryTokens) {
        exchange->reply(409, {{"X-Not-Run", "true"}}, "");
        return;
    }
    this->allocations[id] = {json.at("host").get<std::string>(),
                             std::to_string(json.at("incarnation").get<std::uint64_t>()),
                             json.at("request").get<std::string>(),
                             tokens,
                             json.at("time_to_live_ms").get<std::uint64_t>(),
                             this->loop.now(),
                             0};
    exchange->reply(200, {}, "");
}

std::string FakeEngine::listAllocations() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, allocation] : this->allocations) {
        const Duration age = this->loop.now() - allocation.since;
        list.push_back({{"id", id},
                        {"host", allocation.host},
                        {"incarnation", std::strtoull(allocation.incarnation.c_str(), nullptr, 10)},
                        {"request", allocation.request},
                        {"tokens", allocation.tokens},
                        {"age_ms", age.count() / 1'000},
                        {"time_to_live_ms", allocation.timeToLiveMilliseconds}});
    }
    return list.dump();
}

std::uint64_t FakeEngine::queuedTokens() const
{
    std::uint64_t tokens = 0;
    for (const std::string &id : this->queue)
        tokens += this->attempts.at(id).promptTokens;
    return tokens;
}

} // namespace dotterel::fakes
