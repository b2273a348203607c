#include "entry_host/http_backend_client.h"

#include <optional>

namespace dotterel {

namespace {

constexpr int FirstErrorStatus = 400;
constexpr Duration CancelTimeout = std::chrono::seconds(5);
constexpr Duration RetryAfterRefusal = std::chrono::seconds(1);
constexpr Duration RetryAfterConnectionLoss = std::chrono::seconds(2);

std::string findHeaderValue(const HttpHeaders &headers, std::string_view name)
{
    HttpResponse response;
    response.headers = headers;
    return response.header(name);
}

AttemptFailure connectionFailure(const HttpFailure &failure)
{
    if (failure.kind == HttpFailureKind::ConnectFailed)
        return {{Verdict::NotRun, Reason::BackendConnectFailed,
                 "the backend server could not be connected", RetryAfterConnectionLoss},
                ServerFault::Unreachable};
    if (failure.kind == HttpFailureKind::ResponseTruncated)
        return {{Verdict::MayHaveRun, Reason::AnswerCut, "the answer of the backend server was cut",
                 RetryAfterConnectionLoss},
                ServerFault::ConnectionLost};
    const bool silent = failure.kind == HttpFailureKind::Timeout;
    return {{failure.verdict, Reason::BackendFailed, "the connection to the backend server broke",
             RetryAfterConnectionLoss},
            silent ? ServerFault::Unreachable : ServerFault::ConnectionLost};
}

} // namespace

/// A running attempt and its connection.
class HttpBackendClient::Attempt : public HttpResponseListener
{
public:
    Attempt(HttpBackendClient &owner, const AttemptRequest &order)
        : owner(owner)
        , id(order.attempt)
        , kind(order.kind)
        , endpoint(order.server.endpoint)
    {}

    void start(const HttpRequest &request) { this->call = this->owner.client.send(request, *this); }

    void pause(bool paused) { this->call->pause(paused); }

    const Endpoint &serverEndpoint() const { return this->endpoint; }

    void onHead(int responseStatus, const HttpHeaders &responseHeaders) override
    {
        this->status = responseStatus;
        this->headers = responseHeaders;
    }

    void onData(std::string_view bytes) override
    {
        if (this->kind == PoolKind::Service || this->status >= FirstErrorStatus) {
            this->body.append(bytes);
            return;
        }
        const tl::expected<std::vector<EngineEvent>, std::string> events =
                this->decoder.feed(bytes);
        if (!events) {
            this->fail({{Verdict::MayHaveRun, Reason::BackendFailed,
                         "the backend server sent a malformed event", RetryAfterConnectionLoss},
                        ServerFault::None});
            return;
        }
        this->deliverEvents(*events);
    }

    void onComplete() override
    {
        if (this->status >= FirstErrorStatus && this->declaresNotRun())
            this->fail(this->refusalFailure());
        else if (this->kind == PoolKind::Service)
            this->deliverServiceAnswer();
        else if (this->status >= FirstErrorStatus)
            this->fail({{Verdict::MayHaveRun, Reason::BackendFailed,
                         "the backend server answered " + std::to_string(this->status),
                         RetryAfterConnectionLoss},
                        ServerFault::None});
        else
            this->fail({{Verdict::MayHaveRun, Reason::AnswerCut,
                         "the answer stopped before its end mark", RetryAfterConnectionLoss},
                        ServerFault::None});
    }

    void onFailed(const HttpFailure &failure) override
    {
        // X-Not-Run is in the response head, so it counts even if the body was truncated.
        const bool refused = this->status >= FirstErrorStatus && this->declaresNotRun();
        this->fail(refused ? this->refusalFailure() : connectionFailure(failure));
    }

private:
    bool declaresNotRun() const { return findHeaderValue(this->headers, "X-Not-Run") == "true"; }

    AttemptFailure refusalFailure() const
    {
        const bool draining = findHeaderValue(this->headers, "X-Draining") == "true";
        return {{Verdict::NotRun, Reason::BackendRefused,
                 "the backend server refused the request without running it", RetryAfterRefusal},
                draining ? ServerFault::Draining : ServerFault::None};
    }

    void deliverEvents(const std::vector<EngineEvent> &events)
    {
        // Each callback may cancel this attempt, which removes it from the owner and destroys it.
        HttpBackendClient &client = this->owner;
        const AttemptId attempt = this->id;
        for (const EngineEvent &event : events) {
            if (client.attempts.count(attempt) == 0)
                return;
            if (const AnswerToken *token = std::get_if<AnswerToken>(&event)) {
                client.listener.onToken(attempt, *token);
                continue;
            }
            const AnswerEnd &end = std::get<AnswerEnd>(event);
            if (end.attempt != attempt) {
                client.listener.onAnswerEnd(attempt, end);
                continue;
            }
            const std::unique_ptr<Attempt> self = client.removeAttempt(attempt);
            client.listener.onAnswerEnd(attempt, end);
            return;
        }
    }

    void deliverServiceAnswer()
    {
        ServiceAnswer answer{this->status, findHeaderValue(this->headers, "Content-Type"),
                             std::move(this->body)};
        const std::unique_ptr<Attempt> self = this->owner.removeAttempt(this->id);
        self->owner.listener.onServiceAnswer(self->id, answer);
    }

    void fail(const AttemptFailure &failure)
    {
        const std::unique_ptr<Attempt> self = this->owner.removeAttempt(this->id);
        // An engine keeps the memory of an attempt after a connection failure until it is
        // cancelled.
        if (this->kind == PoolKind::Model && failure.failure.verdict != Verdict::NotRun)
            this->owner.sendCancellation(this->endpoint, this->id);
        self->owner.listener.onAttemptFailed(self->id, failure);
    }

    HttpBackendClient &owner;
    AttemptId id;
    PoolKind kind;
    Endpoint endpoint;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    EngineStreamDecoder decoder;
    std::unique_ptr<HttpCall> call;
};

HttpBackendClient::HttpBackendClient(EventLoop &loop, HttpClient &client, HostIdentity identity,
                                     AttemptListener &listener)
    : loop(loop)
    , client(client)
    , identity(std::move(identity))
    , listener(listener)
{}

HttpBackendClient::~HttpBackendClient() = default;

void HttpBackendClient::send(const AttemptRequest &order)
{
    const TimePoint now = this->loop.now();
    const Duration remaining = std::max<Duration>(order.deadline - now, Duration(1));
    const std::int64_t remainingMilliseconds =
            std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
    HttpRequest request;
    request.endpoint = order.server.endpoint;
    request.body = order.request->body;
    request.timeout = remaining;
    if (order.kind == PoolKind::Model) {
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.emplace_back("Accept", "text/event-stream");
        request.headers.emplace_back("X-Priority", std::to_string(order.priority));
        request.headers.emplace_back("X-Resume-At", std::to_string(order.resumeAt));
        request.headers.emplace_back("X-Prompt-Tokens",
                                     std::to_string(order.request->promptTokens));
        if (!order.allocation.empty())
            request.headers.emplace_back("X-Allocation", order.allocation);
        request.headers.emplace_back("X-Host", this->identity.host);
        request.headers.emplace_back("X-Incarnation", std::to_string(this->identity.incarnation));
    } else {
        request.method = order.request->method;
        request.target = order.request->target;
    }
    if (!order.request->contentType.empty())
        request.headers.emplace_back("Content-Type", order.request->contentType);
    request.headers.emplace_back("X-Attempt-Id", order.attempt);
    request.headers.emplace_back("X-Time-To-Live-Ms", std::to_string(remainingMilliseconds));
    if (!order.request->idempotencyKey.empty())
        request.headers.emplace_back("Idempotency-Key", order.request->idempotencyKey);

    std::unique_ptr<Attempt> &attempt = this->attempts[order.attempt];
    attempt = std::make_unique<Attempt>(*this, order);
    attempt->start(request);
}

void HttpBackendClient::pause(const AttemptId &attempt, bool paused)
{
    const auto entry = this->attempts.find(attempt);
    if (entry != this->attempts.end())
        entry->second->pause(paused);
}

void HttpBackendClient::cancel(const AttemptId &attempt)
{
    const std::unique_ptr<Attempt> cancelled = this->removeAttempt(attempt);
    if (cancelled != nullptr)
        this->sendCancellation(cancelled->serverEndpoint(), attempt);
}

std::unique_ptr<HttpBackendClient::Attempt>
HttpBackendClient::removeAttempt(const AttemptId &attempt)
{
    const auto entry = this->attempts.find(attempt);
    if (entry == this->attempts.end())
        return nullptr;
    std::unique_ptr<Attempt> released = std::move(entry->second);
    this->attempts.erase(entry);
    return released;
}

void HttpBackendClient::sendCancellation(const Endpoint &server, const AttemptId &attempt)
{
    HttpRequest request;
    request.endpoint = server;
    request.method = "POST";
    request.target = "/v1/attempts/" + attempt + "/cancel";
    request.body = std::make_shared<const std::string>();
    request.timeout = CancelTimeout;
    const auto cancellation = this->cancellations.emplace(this->cancellations.end());
    *cancellation = std::make_unique<HttpFetch>(
            this->client, request,
            [this, cancellation](const std::optional<HttpResponse> &, const HttpFailure &) {
                this->loop.disposeLater(std::shared_ptr<HttpFetch>(std::move(*cancellation)));
                this->cancellations.erase(cancellation);
            });
}

} // namespace dotterel
