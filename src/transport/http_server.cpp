#include "transport/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace dotterel {

namespace {

constexpr int AllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                           | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH;
constexpr int ConnectionIdleTimeoutSeconds = 600;
constexpr std::size_t MaxHeaderBytes = 64UL * 1024;

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

/// Exchange over one evhttp_request. evhttp frees the request when the answer has been sent or
/// the connection is lost; `request` is null from then on.
class EvhttpExchange
    : public HttpExchange
    , public std::enable_shared_from_this<EvhttpExchange>
{
public:
    explicit EvhttpExchange(evhttp_request *request)
        : request(request)
    {}
    EvhttpExchange(const EvhttpExchange &) = delete;
    EvhttpExchange &operator=(const EvhttpExchange &) = delete;
    ~EvhttpExchange() override
    {
        // An exchange dropped without an answer must not leave the caller waiting.
        if (this->request != nullptr && !this->started)
            EvhttpExchange::reply(500, {}, "");
        else
            EvhttpExchange::abort();
    }

    void attach()
    {
        evhttp_connection *connection = evhttp_request_get_connection(this->request);
        evhttp_connection_set_closecb(connection, &EvhttpExchange::connectionClosed, this);
        const int noDelay = 1;
        setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), IPPROTO_TCP,
                   TCP_NODELAY, &noDelay, sizeof(noDelay));
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
        if (this->request == nullptr)
            return;
        this->addHeaders(headers);
        evbuffer *buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_request *finished = this->detach();
        evhttp_send_reply(finished, status, nullptr, buffer);
        evbuffer_free(buffer);
    }

    void startReply(int status, const HttpHeaders &headers) override
    {
        if (this->request == nullptr)
            return;
        this->started = true;
        this->addHeaders(headers);
        evhttp_send_reply_start(this->request, status, nullptr);
    }

    void sendChunk(const std::string &bytes) override
    {
        if (this->request == nullptr || bytes.empty())
            return;
        evbuffer *buffer = evbuffer_new();
        evbuffer_add(buffer, bytes.data(), bytes.size());
        evhttp_send_reply_chunk(this->request, buffer);
        evbuffer_free(buffer);
    }

    void endReply() override
    {
        if (this->request == nullptr)
            return;
        evhttp_send_reply_end(this->detach());
    }

    void abort() override
    {
        if (this->request == nullptr)
            return;
        evhttp_connection *connection = evhttp_request_get_connection(this->request);
        this->detach();
        // evhttp sees the end of the stream and frees the connection itself.
        if (connection != nullptr)
            shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }

    void onClosed(std::function<void()> callback) override { this->closed = std::move(callback); }

    std::size_t unsentBytes() const override
    {
        if (this->request == nullptr)
            return 0;
        evhttp_connection *connection = evhttp_request_get_connection(this->request);
        bufferevent *stream = evhttp_connection_get_bufferevent(connection);
        return evbuffer_get_length(bufferevent_get_output(stream));
    }

private:
    static void connectionClosed(evhttp_connection * /*connection*/, void *self)
    {
        EvhttpExchange *exchange = static_cast<EvhttpExchange *>(self);
        const std::shared_ptr<EvhttpExchange> keepAlive = exchange->weak_from_this().lock();
        exchange->request = nullptr;
        const std::function<void()> callback = std::move(exchange->closed);
        exchange->closed = nullptr;
        if (callback)
            callback();
    }

    evhttp_request *detach()
    {
        evhttp_request *finished = this->request;
        evhttp_connection *connection = evhttp_request_get_connection(finished);
        if (connection != nullptr)
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
        this->request = nullptr;
        this->closed = nullptr;
        return finished;
    }

    void addHeaders(const HttpHeaders &headers)
    {
        evkeyvalq *output = evhttp_request_get_output_headers(this->request);
        for (const auto &[name, value] : headers)
            evhttp_add_header(output, name.c_str(), value.c_str());
    }

    evhttp_request *request;
    bool started = false;
    std::function<void()> closed;
};

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
                       Handler handler)
    : server(evhttp_new(loop.base()))
    , socket(nullptr)
    , boundEndpoint(endpoint)
    , handler(std::move(handler))
{
    if (this->server == nullptr)
        throw std::runtime_error("evhttp could not be created");
    evhttp_set_allowed_methods(this->server, AllMethods);
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(maxBodyBytes));
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(MaxHeaderBytes));
    evhttp_set_timeout(this->server, ConnectionIdleTimeoutSeconds);
    evhttp_set_gencb(this->server, &HttpServer::handle, this);
    this->socket =
            evhttp_bind_socket_with_handle(this->server, endpoint.address.c_str(), endpoint.port);
    if (this->socket == nullptr) {
        evhttp_free(this->server);
        throw std::runtime_error("cannot listen on " + endpoint.text());
    }
    this->boundEndpoint.port = boundPort(evhttp_bound_socket_get_fd(this->socket));
}

HttpServer::~HttpServer()
{
    evhttp_free(this->server);
}

void HttpServer::stopListening()
{
    if (this->socket == nullptr)
        return;
    evhttp_del_accept_socket(this->server, this->socket);
    this->socket = nullptr;
}

void HttpServer::handle(evhttp_request *request, void *self)
{
    const std::shared_ptr<EvhttpExchange> exchange = std::make_shared<EvhttpExchange>(request);
    exchange->attach();
    static_cast<HttpServer *>(self)->handler(exchange);
}

} // namespace dotterel
