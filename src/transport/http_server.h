#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp;
struct evhttp_request;
struct evhttp_bound_socket;

namespace dotterel {

/// Header names and values, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One request that an HttpServer got, and the way to answer it. After the peer has closed its
/// connection every call that sends does nothing.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Upper-case method, such as "POST".
    virtual std::string method() const = 0;

    /// Path without the query.
    virtual std::string path() const = 0;

    /// Value of query parameter \a name, decoded; empty if there is none.
    virtual std::string query(const std::string &name) const = 0;

    /// Value of header \a name; empty if there is none.
    virtual std::string header(const std::string &name) const = 0;

    /// Takes the body out of the exchange, so that a long one is held only once.
    virtual std::string takeBody() = 0;

    /// Sends a whole answer.
    virtual void reply(int status, const HttpHeaders &headers, const std::string &body) = 0;

    /// Sends the head of a chunked answer.
    virtual void startReply(int status, const HttpHeaders &headers) = 0;

    /// Sends one chunk.
    virtual void sendChunk(const std::string &bytes) = 0;

    /// Ends a chunked answer.
    virtual void endReply() = 0;

    /// Closes the connection without the end mark, so that the peer sees a cut answer.
    virtual void abort() = 0;

    /// Calls \a callback once if the peer closes its connection before the answer has ended.
    virtual void onClosed(std::function<void()> callback) = 0;

    /// Calls \a callback each time the peer has taken every chunk that was sent.
    virtual void onDrained(std::function<void()> callback) = 0;

    /// Bytes of the answer that the peer has not taken yet.
    virtual std::size_t unsentBytes() const = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/// HTTP/1.1 server over evhttp.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpExchangePointer &)>;

    /// Listens on \a endpoint; port 0 takes a free port. Bodies over \a maxBodyBytes get 413 from
    /// evhttp. A connection without an open exchange is closed after \a idleTimeout. Throws
    /// std::runtime_error if the address cannot be bound.
    HttpServer(EventLoop &loop, const Endpoint &endpoint, std::size_t maxBodyBytes, Handler handler,
               Duration idleTimeout = std::chrono::seconds(60));
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The address and port in use.
    Endpoint endpoint() const { return this->boundEndpoint; }

    /// Stops listening; open connections go on.
    void stopListening();

    /// Closes each connection after its next answer from now on.
    void closeAfterReplies();

    /// Returns true if every request that was read whole has been answered to its last byte.
    bool idle() const;

    /// Returns how many bytes came in; it grows while a request is still being read.
    std::uint64_t receivedBytes() const;

private:
    struct State;
    class Exchange;

    static bufferevent *makeStream(event_base *base, void *self);
    static void inputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *state);
    static void handle(evhttp_request *request, void *self);

    event_base *eventBase;
    std::shared_ptr<State> state;
    evhttp *server;
    evhttp_bound_socket *socket;
    Endpoint boundEndpoint;
    Handler handler;
};

} // namespace dotterel
