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

/// Header names and values in message order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// One request received by an HttpServer, and the means to respond to it. After the peer has closed
/// its connection, all sending functions do nothing.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Returns the method in upper case, such as "POST".
    virtual std::string method() const = 0;

    /// Returns the path without the query.
    virtual std::string path() const = 0;

    /// Returns the decoded value of query parameter \a name; empty if there is none.
    virtual std::string query(const std::string &name) const = 0;

    /// Returns the value of header \a name; empty if there is none.
    virtual std::string header(const std::string &name) const = 0;

    /// Moves the body out of the exchange, so that a long body is not held twice.
    virtual std::string takeBody() = 0;

    /// Sends a complete response.
    virtual void reply(int status, const HttpHeaders &headers, const std::string &body) = 0;

    /// Sends the head of a chunked response.
    virtual void startReply(int status, const HttpHeaders &headers) = 0;

    /// Sends one chunk of the body.
    virtual void sendChunk(const std::string &bytes) = 0;

    /// Ends a chunked response.
    virtual void endReply() = 0;

    /// Closes the connection without the last chunk, so that the peer sees a truncated response.
    virtual void abort() = 0;

    /// Calls \a callback once if the peer closes its connection before the end of the response.
    virtual void onClosed(std::function<void()> callback) = 0;

    /// Calls \a callback each time all chunks so far are written to the socket.
    virtual void onDrained(std::function<void()> callback) = 0;

    /// Returns the number of response bytes that are not yet written to the socket.
    virtual std::size_t unsentBytes() const = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// HTTP/1.1 server over evhttp.
class HttpServer
{
public:
    /// Answers an exchange. One that is released without an answer, as by an exception, gets 500.
    using Handler = std::function<void(const HttpExchangePtr &)>;

    /// Listens on \a endpoint; port 0 selects a free port. evhttp rejects bodies over
    /// \a maxBodyBytes with 413. A connection without an open exchange is closed after
    /// \a idleTimeout. Throws std::runtime_error if the address cannot be bound.
    HttpServer(EventLoop &loop, const Endpoint &endpoint, std::size_t maxBodyBytes, Handler handler,
               Duration idleTimeout = std::chrono::seconds(60));
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Returns the bound address and port.
    Endpoint endpoint() const { return this->boundEndpoint; }

    /// Stops accepting connections; open ones are not affected.
    void stopListening();

    /// Closes each connection after its next response from now on.
    void closeAfterReplies();

    /// Returns true if all completely read requests have been answered to the last byte.
    bool isIdle() const;

    /// Returns the number of bytes received; includes requests that are still being read.
    std::uint64_t receivedBytes() const;

private:
    struct State;
    class Exchange;

    static bufferevent *createStream(event_base *base, void *self);
    static void onInputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *state);
    static void onRequest(evhttp_request *request, void *self);

    EventLoop &loop;
    std::shared_ptr<State> state;
    evhttp *server;
    evhttp_bound_socket *socket;
    EventLoop::TimerHandle acceptTimer;
    Endpoint boundEndpoint;
    Handler handler;
};

} // namespace dotterel
