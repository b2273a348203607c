#include "transport/http_client.h"

#include "transport/http_message_parser.h"
#include "transport/socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <utility>

namespace dotterel {

namespace {

/// A body up to this size fits into the socket send buffer, so an early close by the server cannot
/// interrupt the send.
constexpr std::size_t MaxSocketBufferedBody = 16UL * 1024;

constexpr int FirstFinalStatus = 200;
/// Limits on what a server may send that is neither a head nor a body.
constexpr ev_ssize_t MaxHeadBytes = 64L * 1024;
constexpr std::size_t MaxInterimResponses = 100;
/// evhttp keeps a chunk, and a line, in the input buffer until it is complete.
constexpr std::size_t MaxUnparsedBytes = 4UL * 1024 * 1024;

/// Returns \a duration rounded up to whole seconds, plus one second.
std::int64_t roundUpToSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count() + 1;
}

evhttp_cmd_type evhttpMethod(const std::string &method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_GET;
}

HttpHeaders inputHeaders(evhttp_request *request)
{
    HttpHeaders headers;
    const evkeyvalq *list = evhttp_request_get_input_headers(request);
    for (const evkeyval *entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next)
        headers.emplace_back(entry->key, entry->value);
    return headers;
}

/// Returns true if the end of the body can be told from a lost connection. evhttp treats a body
/// with neither a length nor chunks as complete wherever the connection ends.
bool bodyIsDelimited(evhttp_request *request)
{
    const int status = evhttp_request_get_response_code(request);
    if (status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED)
        return true;
    if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD)
        return true;
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    return evhttp_find_header(headers, "Content-Length") != nullptr
           || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

/// One call on its own connection.
class EvhttpCall
{
public:
    EvhttpCall(EventLoop &loop, const HttpRequest &request, HttpResponseListener &listener)
        : loop(loop)
        , listener(&listener)
        , body(request.body)
    {
        bufferevent *stream = newStream(loop.base(), -1);
        this->connection = evhttp_connection_base_bufferevent_new(loop.base(), nullptr, stream,
                                                                  request.endpoint.address.c_str(),
                                                                  request.endpoint.port);
        evbuffer_add_cb(bufferevent_get_output(stream), &EvhttpCall::onOutputChanged, this);
        evbuffer_add_cb(bufferevent_get_input(stream), &EvhttpCall::onInputChanged, this);
        evhttp_connection_set_max_headers_size(this->connection, MaxHeadBytes);
        // evhttp's default timeouts are shorter than a long prefill, so they are extended beyond
        // the timeout of the request.
        const std::int64_t timeoutSeconds = roundUpToSeconds(request.timeout);
        evhttp_connection_set_timeout(this->connection, static_cast<int>(timeoutSeconds));
        evhttp_connection_set_retries(this->connection, 0);
        // A server may reject a long body before it has read all of it, and the flag makes evhttp
        // read that response. If its head is truncated, evhttp waits forever, so the timer ends the
        // call.
        if (this->body != nullptr && this->body->size() > MaxSocketBufferedBody)
            evhttp_connection_set_flags(this->connection, EVHTTP_CON_READ_ON_WRITE_ERROR);
        this->timer = loop.after(request.timeout, [this] { this->onTimeout(); });

        evhttp_request *evhttpRequest = evhttp_request_new(&EvhttpCall::onRequestFinished, this);
        evhttp_request_set_header_cb(evhttpRequest, &EvhttpCall::onHeadReceived);
        evhttp_request_set_chunked_cb(evhttpRequest, &EvhttpCall::onDataReceived);
        evhttp_request_set_error_cb(evhttpRequest, &EvhttpCall::onError);
        evkeyvalq *headers = evhttp_request_get_output_headers(evhttpRequest);
        for (const auto &[name, value] : request.headers)
            evhttp_add_header(headers, name.c_str(), value.c_str());
        evhttp_add_header(headers, "Host", request.endpoint.text().c_str());
        evhttp_add_header(headers, "Connection", "close");
        if (this->body != nullptr)
            this->addBody(evhttp_request_get_output_buffer(evhttpRequest));
        const bool made = evhttp_make_request(this->connection, evhttpRequest,
                                              evhttpMethod(request.method), request.target.c_str())
                          == 0;
        this->starting = false;
        if (!made)
            this->scheduleConnectFailure();
    }
    ~EvhttpCall()
    {
        this->listener = nullptr;
        if (this->connection != nullptr)
            evhttp_connection_free(this->connection);
    }
    EvhttpCall(const EvhttpCall &) = delete;
    EvhttpCall &operator=(const EvhttpCall &) = delete;

    void pause(bool paused)
    {
        bufferevent *stream = evhttp_connection_get_bufferevent(this->connection);
        if (paused)
            bufferevent_disable(stream, EV_READ);
        else if (this->listener != nullptr)
            bufferevent_enable(stream, EV_READ);
    }

    /// Stops all notifications of the listener.
    void removeListener() { this->listener = nullptr; }

private:
    static EvhttpCall *self(void *argument) { return static_cast<EvhttpCall *>(argument); }

    /// Releases the reference that an evbuffer held on a body.
    static void releaseBodyReference(const void * /*data*/, std::size_t /*length*/,
                                     void *bodyReference)
    {
        delete static_cast<std::shared_ptr<const std::string> *>(bodyReference);
    }

    void addBody(evbuffer *output)
    {
        auto *bodyReference = new std::shared_ptr<const std::string>(this->body);
        evbuffer_add_reference(output, this->body->data(), this->body->size(),
                               &EvhttpCall::releaseBodyReference, bodyReference);
    }

    static void onOutputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *argument)
    {
        // evhttp writes to the output buffer only once it is connected. From then on bytes may have
        // been sent.
        if (info->n_added > 0)
            self(argument)->requestBytesWritten = true;
    }

    static void onInputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *argument)
    {
        if (info->n_added > 0 && evbuffer_get_length(buffer) > MaxUnparsedBytes)
            self(argument)->scheduleMalformed();
    }

    /// Runs \a handling, a call of the listener: an exception must not pass through evhttp. It ends
    /// the call, and the listener learns it if it still waits.
    template <typename Handling>
    void contain(Handling &&handling)
    {
        if (!this->loop.contain("http_call", handling))
            this->scheduleMalformed();
    }

    /// Reports a failure to connect from the event loop, since the caller has no handle yet.
    void scheduleConnectFailure()
    {
        this->timer = this->loop.after(Duration::zero(), [this] {
            if (HttpResponseListener *notifiedListener = std::exchange(this->listener, nullptr))
                this->reportFailure(*notifiedListener);
        });
    }

    /// Ends the call from the event loop, since evhttp is reading.
    void scheduleMalformed()
    {
        if (this->malformed)
            return;
        this->malformed = true;
        this->timer = this->loop.after(Duration::zero(), [this] {
            HttpResponseListener *notifiedListener = std::exchange(this->listener, nullptr);
            if (notifiedListener == nullptr)
                return;
            bufferevent_disable(evhttp_connection_get_bufferevent(this->connection), EV_READ);
            this->failureKind = this->headReceived ? HttpFailureKind::ResponseTruncated
                                                   : HttpFailureKind::MalformedResponse;
            this->reportFailure(*notifiedListener);
        });
    }

    static int onHeadReceived(evhttp_request *request, void *argument)
    {
        EvhttpCall *call = self(argument);
        const int status = evhttp_request_get_response_code(request);
        if (!isValidStatus(status)) {
            call->scheduleMalformed();
            return 0;
        }
        if (status < FirstFinalStatus) {
            if (++call->interimResponses > MaxInterimResponses)
                call->scheduleMalformed();
            return 0;
        }
        if (call->listener != nullptr && !call->headReceived) {
            call->headReceived = true;
            call->contain([&] { call->listener->onHead(status, inputHeaders(request)); });
        }
        return 0;
    }

    static void onDataReceived(evhttp_request *request, void *argument)
    {
        EvhttpCall *call = self(argument);
        evbuffer *input = evhttp_request_get_input_buffer(request);
        const std::size_t length = evbuffer_get_length(input);
        if (call->listener == nullptr || length == 0)
            return;
        const char *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
        call->contain([&] { call->listener->onData(std::string_view(bytes, length)); });
    }

    static void onError(evhttp_request_error error, void *argument)
    {
        EvhttpCall *call = self(argument);
        if (call->headReceived)
            call->failureKind = HttpFailureKind::ResponseTruncated;
        else if (error == EVREQ_HTTP_TIMEOUT)
            call->failureKind = HttpFailureKind::Timeout;
        else if (error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG)
            call->failureKind = HttpFailureKind::MalformedResponse;
        else
            call->failureKind = HttpFailureKind::ConnectionLost;
    }

    static void onRequestFinished(evhttp_request *request, void *argument)
    {
        EvhttpCall *call = self(argument);
        if (call->starting)
            return call->scheduleConnectFailure();
        // The timer of scheduleMalformed() reports the end.
        if (call->malformed)
            return;
        HttpResponseListener *listener = call->listener;
        call->listener = nullptr;
        if (listener == nullptr)
            return;
        if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
            if (bodyIsDelimited(request)) {
                call->contain([listener] { listener->onComplete(); });
                return;
            }
            call->failureKind = HttpFailureKind::ResponseTruncated;
        }
        call->contain([call, listener] { call->reportFailure(*listener); });
    }

    void onTimeout()
    {
        HttpResponseListener *notifiedListener = this->listener;
        this->listener = nullptr;
        if (notifiedListener == nullptr)
            return;
        this->failureKind =
                this->headReceived ? HttpFailureKind::ResponseTruncated : HttpFailureKind::Timeout;
        this->reportFailure(*notifiedListener);
    }

    void reportFailure(HttpResponseListener &notifiedListener) const
    {
        HttpFailure failure;
        failure.verdict = this->requestBytesWritten ? Verdict::MayHaveRun : Verdict::NotRun;
        failure.kind =
                this->requestBytesWritten ? this->failureKind : HttpFailureKind::ConnectFailed;
        notifiedListener.onFailed(failure);
    }

    EventLoop &loop;
    HttpResponseListener *listener;
    std::shared_ptr<const std::string> body;
    evhttp_connection *connection = nullptr;
    EventLoop::TimerHandle timer;
    bool starting = true;
    bool requestBytesWritten = false;
    bool headReceived = false;
    bool malformed = false;
    std::size_t interimResponses = 0;
    HttpFailureKind failureKind = HttpFailureKind::ConnectionLost;
};

/// Handle of an EvhttpCall. The handle may be destroyed inside a callback of the call, where evhttp
/// does not allow the connection to be freed, so the call is destroyed later.
class EvhttpCallHandle : public HttpCall
{
public:
    EvhttpCallHandle(EventLoop &loop, std::shared_ptr<EvhttpCall> call)
        : loop(loop)
        , call(std::move(call))
    {}
    ~EvhttpCallHandle() override
    {
        this->call->removeListener();
        this->loop.disposeLater(std::move(this->call));
    }
    EvhttpCallHandle(const EvhttpCallHandle &) = delete;
    EvhttpCallHandle &operator=(const EvhttpCallHandle &) = delete;

    void pause(bool paused) override { this->call->pause(paused); }

private:
    EventLoop &loop;
    std::shared_ptr<EvhttpCall> call;
};

} // namespace

HttpClient::HttpClient(EventLoop &loop)
    : loop(loop)
{}

std::unique_ptr<HttpCall> HttpClient::send(const HttpRequest &request,
                                           HttpResponseListener &listener)
{
    return std::make_unique<EvhttpCallHandle>(
            this->loop, std::make_shared<EvhttpCall>(this->loop, request, listener));
}

std::string HttpResponse::header(std::string_view name) const
{
    for (const auto &[key, value] : this->headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return "";
}

HttpFetch::HttpFetch(HttpSender &client, const HttpRequest &request, Callback callback,
                     std::size_t maxBodyBytes)
    : maxBodyBytes(maxBodyBytes)
    , callback(std::move(callback))
{
    this->call = client.send(request, *this);
}

void HttpFetch::onHead(int status, const HttpHeaders &headers)
{
    this->response.status = status;
    this->response.headers = headers;
}

void HttpFetch::onData(std::string_view bytes)
{
    if (!this->call)
        return;
    if (this->response.body.size() + bytes.size() <= this->maxBodyBytes) {
        this->response.body.append(bytes);
        return;
    }
    this->call.reset();
    this->onFailed({HttpFailureKind::ResponseTooLarge, Verdict::MayHaveRun, false});
}

void HttpFetch::onComplete()
{
    const Callback completion = std::move(this->callback);
    const HttpResponse completeResponse = std::move(this->response);
    completion(completeResponse, HttpFailure{});
}

void HttpFetch::onFailed(const HttpFailure &failure)
{
    const Callback completion = std::move(this->callback);
    completion(std::nullopt, failure);
}

} // namespace dotterel
