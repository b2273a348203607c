#include "entry_host/caller_api.h"

namespace dotterel {

namespace {

constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::string_view ServicePathPrefix = "/v1/services/";
constexpr int StatusOk = 200;
/// The HTTP server accepts bodies this much larger than the limit, so that a body just over the
/// limit is refused with the documented problem document.
constexpr std::size_t BodyLimitMargin = 16UL * 1024 * 1024;
constexpr std::size_t MaxIdempotencyKeyBytes = 256;
/// A stream with this many unsent bytes is paused until its caller has read all of them.
constexpr std::size_t UnsentBytesHighWatermark = 256UL * 1024;

const HttpHeaders EventStreamHeaders = {{"Content-Type", "text/event-stream"},
                                        {"Cache-Control", "no-cache"}};
const HttpHeaders JsonHeaders = {{"Content-Type", "application/json"}};

std::string requestIdPrefix(const HostIdentity &identity)
{
    return identity.host + "." + std::to_string(identity.incarnation) + ".";
}

} // namespace

CallerApi::CallerApi(EventLoop &loop, const Settings &settings, const HostIdentity &identity,
                     CallerListener &listener)
    : settings(settings)
    , identity(identity)
    , listener(listener)
    , server(loop, settings.callers, settings.maxBodyBytes + BodyLimitMargin,
             [this](const HttpExchangePtr &exchange) { this->handleExchange(exchange); })
{}

void CallerApi::deliverText(const RequestId &request, const std::string &text)
{
    OpenRequest *open = this->findOpenRequest(request);
    if (open == nullptr)
        return;
    if (!open->stream) {
        open->bufferedText += text;
        return;
    }
    if (!open->streamStarted) {
        open->streamStarted = true;
        open->exchange->startReply(StatusOk, EventStreamHeaders);
    }
    open->exchange->sendChunk(completionChunkEvent(request, open->model, text));
    if (open->readerBlocked || open->exchange->unsentBytes() < UnsentBytesHighWatermark)
        return;
    open->readerBlocked = true;
    this->listener.onCallerBlocked(request, true);
}

void CallerApi::onResponseDrained(const RequestId &request)
{
    OpenRequest *open = this->findOpenRequest(request);
    if (open == nullptr || !open->readerBlocked)
        return;
    open->readerBlocked = false;
    this->listener.onCallerBlocked(request, false);
}

void CallerApi::finishAnswer(const RequestId &request, std::uint64_t tokens)
{
    OpenRequest *open = this->findOpenRequest(request);
    if (open == nullptr)
        return;
    if (open->stream) {
        if (!open->streamStarted)
            open->exchange->startReply(StatusOk, EventStreamHeaders);
        open->exchange->sendChunk(completionEndEvents(request, open->model));
        open->exchange->endReply();
    } else {
        open->exchange->reply(StatusOk, JsonHeaders,
                              completionBody(request, open->model, open->bufferedText,
                                             open->promptTokens, tokens));
    }
    this->openRequests.erase(request);
}

void CallerApi::deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer)
{
    OpenRequest *open = this->findOpenRequest(request);
    if (open == nullptr)
        return;
    HttpHeaders headers;
    if (!answer.contentType.empty())
        headers.emplace_back("Content-Type", answer.contentType);
    open->exchange->reply(answer.status, headers, answer.body);
    this->openRequests.erase(request);
}

void CallerApi::refuse(const RequestId &request, const Failure &failure)
{
    OpenRequest *open = this->findOpenRequest(request);
    if (open == nullptr)
        return;
    if (open->streamStarted) {
        open->exchange->sendChunk(completionErrorEvent(failure));
        open->exchange->endReply();
    } else {
        this->replyWithProblem(open->exchange, failure);
    }
    this->openRequests.erase(request);
}

std::size_t CallerApi::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, open] : this->openRequests)
        bytes += open.exchange->unsentBytes();
    return bytes;
}

void CallerApi::handleExchange(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    if (path == CompletionPath) {
        this->handleCompletion(exchange);
        return;
    }
    if (path.compare(0, ServicePathPrefix.size(), ServicePathPrefix) == 0) {
        this->handleService(exchange);
        return;
    }
    this->rejectMalformed(exchange, Reason::MalformedRequest,
                          "there is no route " + path
                                  + "; use /v1/completions or /v1/services/POOL/PATH");
}

void CallerApi::handleCompletion(const HttpExchangePtr &exchange)
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
    OpenRequest open;
    open.model = parsed->model;
    open.stream = parsed->stream;
    open.promptTokens = parsed->promptTokens;
    this->acceptRequest(exchange, std::move(request), std::move(open));
}

void CallerApi::handleService(const HttpExchangePtr &exchange)
{
    const std::string rest = exchange->path().substr(ServicePathPrefix.size());
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
    this->acceptRequest(exchange, std::move(request), OpenRequest{});
}

void CallerApi::acceptRequest(const HttpExchangePtr &exchange, Request request, OpenRequest open)
{
    request.workspace = exchange->header("X-Workspace");
    request.requestClass = exchange->header("X-Request-Class");
    request.idempotencyKey = exchange->header("Idempotency-Key");
    if (request.idempotencyKey.size() > MaxIdempotencyKeyBytes) {
        this->rejectMalformed(exchange, Reason::MalformedRequest,
                              "an Idempotency-Key has at most "
                                      + std::to_string(MaxIdempotencyKeyBytes) + " bytes");
        return;
    }
    request.id = requestIdPrefix(this->identity) + std::to_string(++this->lastRequestNumber);
    open.exchange = exchange;
    this->openRequests[request.id] = std::move(open);
    const RequestId id = request.id;
    exchange->onClosed([this, id] {
        this->openRequests.erase(id);
        this->listener.onCallerDisconnected(id);
    });
    exchange->onDrained([this, id] { this->onResponseDrained(id); });
    this->listener.onRequest(request);
}

void CallerApi::replyWithProblem(const HttpExchangePtr &exchange, const Failure &failure)
{
    HttpHeaders headers = {{"Content-Type", "application/problem+json"}};
    if (failure.retryAfter)
        headers.emplace_back("Retry-After", retryAfterSeconds(*failure.retryAfter));
    exchange->reply(reasonInfo(failure.reason).httpStatus, headers, problemDocument(failure));
}

void CallerApi::rejectMalformed(const HttpExchangePtr &exchange, Reason reason,
                                const std::string &detail)
{
    const Failure failure{Verdict::NotRun, reason, detail, std::nullopt};
    this->listener.onMalformedRequest(failure);
    this->replyWithProblem(exchange, failure);
}

CallerApi::OpenRequest *CallerApi::findOpenRequest(const RequestId &request)
{
    const auto open = this->openRequests.find(request);
    return open == this->openRequests.end() ? nullptr : &open->second;
}

} // namespace dotterel
