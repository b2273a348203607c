#include "entry_host/caller_api.h"

namespace dotterel {

namespace {

constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr int StatusOk = 200;
/// The HTTP server accepts this much more than the limit, so that a body just over the limit gets
/// the documented 413 problem document instead of a closed connection.
constexpr std::size_t BodyLimitSlack = 16UL * 1024 * 1024;
constexpr std::size_t MostHeaderBytes = 256;
/// A stream with this many unsent bytes is paused until its caller has read all of them.
constexpr std::size_t MostUnsentBytes = 256UL * 1024;

const HttpHeaders EventStreamHeaders = {{"Content-Type", "text/event-stream"},
                                        {"Cache-Control", "no-cache"}};
const HttpHeaders JsonHeaders = {{"Content-Type", "application/json"}};

std::string requestPrefix(const HostIdentity &identity)
{
    return identity.host + "." + std::to_string(identity.incarnation) + ".";
}

} // namespace

CallerApi::CallerApi(EventLoop &loop, const Settings &settings, const HostIdentity &identity,
                     CallerListener &listener)
    : settings(settings)
    , identity(identity)
    , listener(listener)
    , server(loop, settings.callers, settings.maxBodyBytes + BodyLimitSlack,
             [this](const HttpExchangePointer &exchange) { this->handle(exchange); })
{}

void CallerApi::deliverText(const RequestId &request, const std::string &text)
{
    Open *open = this->openRequest(request);
    if (open == nullptr)
        return;
    if (!open->stream) {
        open->text += text;
        return;
    }
    if (!open->started) {
        open->started = true;
        open->exchange->startReply(StatusOk, EventStreamHeaders);
    }
    open->exchange->sendChunk(completionChunk(request, open->model, text));
    if (open->blocked || open->exchange->unsentBytes() < MostUnsentBytes)
        return;
    open->blocked = true;
    this->listener.onCallerBlocked(request, true);
}

void CallerApi::onDrained(const RequestId &request)
{
    Open *open = this->openRequest(request);
    if (open == nullptr || !open->blocked)
        return;
    open->blocked = false;
    this->listener.onCallerBlocked(request, false);
}

void CallerApi::finishAnswer(const RequestId &request, std::uint64_t tokens)
{
    Open *open = this->openRequest(request);
    if (open == nullptr)
        return;
    if (open->stream) {
        if (!open->started)
            open->exchange->startReply(StatusOk, EventStreamHeaders);
        open->exchange->sendChunk(completionEnd(request, open->model));
        open->exchange->endReply();
    } else {
        open->exchange->reply(
                StatusOk, JsonHeaders,
                completionDocument(request, open->model, open->text, open->promptTokens, tokens));
    }
    this->requests.erase(request);
}

void CallerApi::deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer)
{
    Open *open = this->openRequest(request);
    if (open == nullptr)
        return;
    HttpHeaders headers;
    if (!answer.contentType.empty())
        headers.emplace_back("Content-Type", answer.contentType);
    open->exchange->reply(answer.status, headers, answer.body);
    this->requests.erase(request);
}

void CallerApi::refuse(const RequestId &request, const Failure &failure)
{
    Open *open = this->openRequest(request);
    if (open == nullptr)
        return;
    if (open->started) {
        open->exchange->sendChunk(completionError(failure));
        open->exchange->endReply();
    } else {
        this->replyFailure(open->exchange, failure);
    }
    this->requests.erase(request);
}

std::size_t CallerApi::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, open] : this->requests)
        bytes += open.exchange->unsentBytes();
    return bytes;
}

void CallerApi::handle(const HttpExchangePointer &exchange)
{
    const std::string path = exchange->path();
    if (path == CompletionPath) {
        this->handleCompletion(exchange);
        return;
    }
    if (path.compare(0, ServicePrefix.size(), ServicePrefix) == 0) {
        this->handleService(exchange);
        return;
    }
    this->rejectMalformed(exchange, Reason::MalformedRequest,
                          "there is no route " + path
                                  + "; use /v1/completions or /v1/services/POOL/PATH");
}

void CallerApi::handleCompletion(const HttpExchangePointer &exchange)
{
    if (exchange->method() != "POST") {
        this->rejectMalformed(exchange, Reason::MalformedRequest,
                              "/v1/completions takes POST only");
        return;
    }
    auto body = std::make_shared<std::string>(exchange->takeBody());
    if (body->size() > this->settings.maxBodyBytes) {
        this->rejectMalformed(exchange, Reason::BodyTooLarge,
                              "the body has " + std::to_string(body->size()) + " bytes; at most "
                                      + std::to_string(this->settings.maxBodyBytes) + " are taken");
        return;
    }
    const tl::expected<CompletionRequest, std::string> parsed = parseCompletionRequest(*body);
    if (!parsed) {
        this->rejectMalformed(exchange, Reason::MalformedRequest, parsed.error());
        return;
    }
    Request request;
    request.pool = parsed->model;
    request.contentType = "application/json";
    request.body = std::move(body);
    request.promptTokens = parsed->promptTokens;
    request.maxTokens = parsed->maxTokens;
    request.prefixHashes = parsed->prefixHashes;
    Open open;
    open.model = parsed->model;
    open.stream = parsed->stream;
    open.promptTokens = parsed->promptTokens;
    this->accept(exchange, std::move(request), std::move(open));
}

void CallerApi::handleService(const HttpExchangePointer &exchange)
{
    const std::string rest = exchange->path().substr(ServicePrefix.size());
    const std::size_t slash = rest.find('/');
    Request request;
    request.pool = rest.substr(0, slash);
    request.target = slash == std::string::npos ? "/" : rest.substr(slash);
    request.method = exchange->method();
    request.contentType = exchange->header("Content-Type");
    request.body = std::make_shared<const std::string>(exchange->takeBody());
    if (request.body->size() > this->settings.maxBodyBytes) {
        this->rejectMalformed(exchange, Reason::BodyTooLarge, "the body is too large");
        return;
    }
    this->accept(exchange, std::move(request), Open{});
}

void CallerApi::accept(const HttpExchangePointer &exchange, Request request, Open open)
{
    request.workspace = exchange->header("X-Workspace");
    request.requestClass = exchange->header("X-Request-Class");
    request.idempotencyKey = exchange->header("Idempotency-Key");
    if (request.idempotencyKey.size() > MostHeaderBytes) {
        this->rejectMalformed(exchange, Reason::MalformedRequest,
                              "an Idempotency-Key has at most " + std::to_string(MostHeaderBytes)
                                      + " bytes");
        return;
    }
    request.id = requestPrefix(this->identity) + std::to_string(++this->sequence);
    open.exchange = exchange;
    this->requests[request.id] = std::move(open);
    const RequestId id = request.id;
    exchange->onClosed([this, id] {
        this->requests.erase(id);
        this->listener.onCallerGone(id);
    });
    exchange->onDrained([this, id] { this->onDrained(id); });
    this->listener.onRequest(request);
}

void CallerApi::replyFailure(const HttpExchangePointer &exchange, const Failure &failure)
{
    HttpHeaders headers = {{"Content-Type", "application/problem+json"}};
    if (failure.retryAfter)
        headers.emplace_back("Retry-After", retryAfterSeconds(*failure.retryAfter));
    exchange->reply(reasonInfo(failure.reason).httpStatus, headers, problemDocument(failure));
}

void CallerApi::rejectMalformed(const HttpExchangePointer &exchange, Reason reason,
                                const std::string &detail)
{
    const Failure failure{Verdict::NotRun, reason, detail, std::nullopt};
    this->listener.onMalformedRequest(failure);
    this->replyFailure(exchange, failure);
}

CallerApi::Open *CallerApi::openRequest(const RequestId &request)
{
    const auto open = this->requests.find(request);
    return open == this->requests.end() ? nullptr : &open->second;
}

} // namespace dotterel
