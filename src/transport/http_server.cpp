#include "transport/http_server.h"

#include "transport/socket_options.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace dotterel {

namespace {

constexpr int SupportedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                 | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH;
constexpr int StatusServerError = 500;
constexpr std::size_t MaxHeaderBytes = 64UL * 1024;
/// Bytes of pipelined requests that are read while a request is being answered.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
constexpr std::string_view FaultSource = "http_exchange";

std::string methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

/// Lets the server notice when the peer closes the connection: evhttp stops reading until the
/// response begins. Reading continues here without a read callback, because evhttp aborts the
/// process if it receives bytes in that state.
void detectPeerClose(bufferevent *stream)
{
    bufferevent_data_cb onRead = nullptr;
    bufferevent_data_cb onWrite = nullptr;
    bufferevent_event_cb onEvent = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(stream, &onRead, &onWrite, &onEvent, &argument);
    bufferevent_setcb(stream, nullptr, onWrite, onEvent, argument);
    bufferevent_setwatermark(stream, EV_READ, 0, MaxPipelinedBytes);
    bufferevent_enable(stream, EV_READ);
}

} // namespace

/// State shared by a server and its exchanges, which may outlive the server.
struct HttpServer::State
{
    explicit State(EventLoop &loop)
        : loop(loop)
    {}

    EventLoop &loop;
    timeval idleTimeout{};
    std::size_t openExchanges = 0;
    std::uint64_t receivedBytes = 0;
    bool closeAfterReplies = false;
    bool serverDestroyed = false;
};

/// Exchange over one evhttp_request. It is deleted once its handler has released it and evhttp has
/// finished the request; `request` is null after the latter.
class HttpServer::Exchange : public HttpExchange
{
public:
    Exchange(evhttp_request *request, std::shared_ptr<State> state)
        : request(request)
        , state(std::move(state))
    {
        ++this->state->openExchanges;
        evhttp_connection *connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(connection, &Exchange::onConnectionClosed, this);
        evhttp_request_set_on_complete_cb(request, &Exchange::onRequestCompleted, this);
        bufferevent *stream = evhttp_connection_get_bufferevent(connection);
        // Producing a response may take longer than the idle timeout.
        bufferevent_set_timeouts(stream, nullptr, nullptr);
        detectPeerClose(stream);
        const int noDelay = 1;
        setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
    }
    ~Exchange() override = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /// Called when the handler has released the exchange. Without a response so far, the peer gets
    /// an error status instead of waiting further.
    void onHandlerReleased()
    {
        this->releasedByHandler = true;
        if (this->canSend() && !this->responseStarted)
            this->reply(StatusServerError, {}, "");
        else
            this->abort();
        if (this->request == nullptr)
            delete this;
    }

    std::string method() const override
    {
        return this->request == nullptr ? ""
                                        : methodName(evhttp_request_get_command(this->request));
    }

    std::string path() const override
    {
        if (this->request == nullptr)
            return "";
        const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(this->request));
        return path == nullptr ? "" : path;
    }

    std::string query(const std::string &name) const override
    {
        if (this->request == nullptr)
            return "";
        const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(this->request));
        if (query == nullptr)
            return "";
        evkeyvalq parameters{};
        std::string found;
        if (evhttp_parse_query_str(query, &parameters) == 0) {
            const char *value = evhttp_find_header(&parameters, name.c_str());
            found = value == nullptr ? "" : value;
        }
        evhttp_clear_headers(&parameters);
        return found;
    }

    std::string header(const std::string &name) const override
    {
        if (this->request == nullptr)
            return "";
        const char *value =
                evhttp_find_header(evhttp_request_get_input_headers(this->request), name.c_str());
        return value == nullptr ? "" : value;
    }

    std::string takeBody() override
    {
        if (this->request == nullptr)
            return "";
        evbuffer *input = evhttp_request_get_input_buffer(this->request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        return body;
    }

    void reply(int status, const HttpHeaders &headers, const std::string &body) override
    {
        if (!this->canSend())
            return;
        this->addHeaders(headers);
        evbuffer *buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        this->markResponseComplete();
        evhttp_send_reply(this->request, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    void startReply(int status, const HttpHeaders &headers) override
    {
        if (!this->canSend())
            return;
        this->responseStarted = true;
        this->addHeaders(headers);
        evhttp_send_reply_start(this->request, status, nullptr);
    }

    void sendChunk(const std::string &bytes) override
    {
        if (!this->canSend() || bytes.empty())
            return;
        evbuffer *buffer = evbuffer_new();
        evbuffer_add(buffer, bytes.data(), bytes.size());
        evhttp_send_reply_chunk_with_cb(this->request, buffer, &Exchange::onOutputDrained, this);
        evbuffer_free(buffer);
    }

    void endReply() override
    {
        if (!this->canSend())
            return;
        this->markResponseComplete();
        evhttp_send_reply_end(this->request);
    }

    void abort() override
    {
        if (!this->canSend())
            return;
        this->markResponseComplete();
        // evhttp sees the end of the stream and frees the connection.
        shutdown(bufferevent_getfd(this->stream()), SHUT_RDWR);
    }

    void onClosed(std::function<void()> callback) override
    {
        this->peerClosedCallback = std::move(callback);
    }

    void onDrained(std::function<void()> callback) override
    {
        this->drainedCallback = std::move(callback);
    }

    std::size_t unsentBytes() const override
    {
        return this->canSend() ? evbuffer_get_length(bufferevent_get_output(this->stream())) : 0;
    }

private:
    static Exchange *self(void *argument) { return static_cast<Exchange *>(argument); }

    static void onConnectionClosed(evhttp_connection * /*connection*/, void *argument)
    {
        Exchange *exchange = self(argument);
        // evhttp does not free a request that it has not finished.
        if (evhttp_request_get_connection(exchange->request) == nullptr)
            evhttp_request_free(exchange->request);
        exchange->onEvhttpFinished();
    }

    static void onRequestCompleted(evhttp_request * /*request*/, void *argument)
    {
        Exchange *exchange = self(argument);
        evhttp_connection *connection = evhttp_request_get_connection(exchange->request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        const timeval *timeout = &exchange->state->idleTimeout;
        bufferevent_set_timeouts(exchange->stream(), timeout, timeout);
        exchange->onEvhttpFinished();
    }

    static void onOutputDrained(evhttp_connection * /*connection*/, void *argument)
    {
        // The callback may release the exchange, so it is called through a copy.
        const std::function<void()> callback = self(argument)->drainedCallback;
        if (callback)
            self(argument)->state->loop.contain(FaultSource, callback);
    }

    /// Called when evhttp has finished the request. May delete the exchange, directly or through
    /// the callback.
    void onEvhttpFinished()
    {
        const std::function<void()> callback = std::move(this->peerClosedCallback);
        const bool suppressCallback = this->responseComplete || this->state->serverDestroyed;
        this->request = nullptr;
        --this->state->openExchanges;
        if (this->releasedByHandler) {
            delete this;
            return;
        }
        if (callback && !suppressCallback)
            this->state->loop.contain(FaultSource, callback);
    }

    bool canSend() const { return this->request != nullptr && !this->responseComplete; }

    bufferevent *stream() const
    {
        return evhttp_connection_get_bufferevent(evhttp_request_get_connection(this->request));
    }

    /// Ends the sending functions once the response is complete or aborted. evhttp may still have
    /// to send a complete response.
    void markResponseComplete()
    {
        this->responseComplete = true;
        this->peerClosedCallback = nullptr;
        this->drainedCallback = nullptr;
        // No data is read while the rest of the response is sent; that must not time out the
        // connection.
        bufferevent_set_timeouts(this->stream(), nullptr, &this->state->idleTimeout);
        bufferevent_setwatermark(this->stream(), EV_READ, 0, 0);
    }

    void addHeaders(const HttpHeaders &headers)
    {
        evkeyvalq *output = evhttp_request_get_output_headers(this->request);
        for (const auto &[name, value] : headers)
            evhttp_add_header(output, name.c_str(), value.c_str());
        if (this->state->closeAfterReplies)
            evhttp_add_header(output, "Connection", "close");
    }

    evhttp_request *request;
    std::shared_ptr<State> state;
    bool responseStarted = false;
    bool responseComplete = false;
    bool releasedByHandler = false;
    std::function<void()> peerClosedCallback;
    std::function<void()> drainedCallback;
};

namespace {

timeval toTimeval(Duration duration)
{
    constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
    timeval value{};
    value.tv_sec = duration.count() / MicrosecondsPerSecond;
    value.tv_usec = duration.count() % MicrosecondsPerSecond;
    return value;
}

std::uint16_t boundPort(evutil_socket_t descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return 0;
    return ntohs(address.sin_port);
}

} // namespace

HttpServer::HttpServer(EventLoop &loop, const Endpoint &endpoint, std::size_t maxBodyBytes,
                       Handler handler, Duration idleTimeout)
    : loop(loop)
    , state(std::make_shared<State>(loop))
    , server(evhttp_new(loop.base()))
    , socket(nullptr)
    , boundEndpoint(endpoint)
    , handler(std::move(handler))
{
    if (this->server == nullptr)
        throw std::runtime_error("evhttp_new() failed");
    evhttp_set_allowed_methods(this->server, SupportedMethods);
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(maxBodyBytes));
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(MaxHeaderBytes));
    this->state->idleTimeout = toTimeval(idleTimeout);
    evhttp_set_timeout_tv(this->server, &this->state->idleTimeout);
    // A peer that is rejected while it sends a long body must still be able to read the response.
    evhttp_set_flags(this->server, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_bevcb(this->server, &HttpServer::createStream, this);
    evhttp_set_gencb(this->server, &HttpServer::onRequest, this);
    this->socket =
            evhttp_bind_socket_with_handle(this->server, endpoint.address.c_str(), endpoint.port);
    if (this->socket == nullptr) {
        evhttp_free(this->server);
        throw std::runtime_error("cannot listen on " + endpoint.text());
    }
    stopOnAcceptError(evhttp_bound_socket_get_listener(this->socket));
    this->acceptTimer = loop.every(AcceptRetryInterval, [this] {
        if (this->socket != nullptr)
            evconnlistener_enable(evhttp_bound_socket_get_listener(this->socket));
    });
    this->boundEndpoint.port = boundPort(evhttp_bound_socket_get_fd(this->socket));
}

HttpServer::~HttpServer()
{
    this->state->serverDestroyed = true;
    evhttp_free(this->server);
}

void HttpServer::stopListening()
{
    if (this->socket == nullptr)
        return;
    evhttp_del_accept_socket(this->server, this->socket);
    this->socket = nullptr;
}

void HttpServer::closeAfterReplies()
{
    this->state->closeAfterReplies = true;
}

bool HttpServer::isIdle() const
{
    return this->state->openExchanges == 0;
}

std::uint64_t HttpServer::receivedBytes() const
{
    return this->state->receivedBytes;
}

bufferevent *HttpServer::createStream(event_base * /*base*/, void *self)
{
    HttpServer *server = static_cast<HttpServer *>(self);
    bufferevent *stream = bufferevent_socket_new(server->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    // evhttp refuses the connection if it cannot make a stream either.
    if (stream != nullptr)
        evbuffer_add_cb(bufferevent_get_input(stream), &HttpServer::onInputChanged,
                        server->state.get());
    return stream;
}

void HttpServer::onInputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *state)
{
    static_cast<State *>(state)->receivedBytes += info->n_added;
}

void HttpServer::onRequest(evhttp_request *request, void *self)
{
    HttpServer *server = static_cast<HttpServer *>(self);
    // An exception must not pass through evhttp.
    server->loop.contain(FaultSource, [server, request] {
        const HttpExchangePtr exchange(new Exchange(request, server->state),
                                       [](HttpExchange *released) {
                                           static_cast<Exchange *>(released)->onHandlerReleased();
                                       });
        server->handler(exchange);
    });
}

} // namespace dotterel
