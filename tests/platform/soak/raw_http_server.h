#pragma once

#include "transport/event_loop.h"
#include "transport/http_message_parser.h"

#include <event2/util.h>
#include <functional>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace dotterel::soak {

/// How a RawExchange ends its connection.
enum class ConnectionEnd {
    KeepOpen, ///< The connection takes the next request.
    InOrder,  ///< The connection ends after the bytes written so far.
    Reset,    ///< The connection is reset at once.
};

/// One request to a RawHttpServer. The response is written byte by byte, so that its framing can be
/// wrong. After the peer has closed its connection, writing does nothing.
class RawExchange
{
public:
    virtual ~RawExchange() = default;

    /// Returns the request target, with its query.
    virtual std::string target() const = 0;

    /// Returns the value of request header \a name; empty if there is none.
    virtual std::string header(std::string_view name) const = 0;

    virtual void write(std::string_view bytes) = 0;
    virtual void end(ConnectionEnd end) = 0;

    /// Returns true once the peer has closed its connection.
    virtual bool isClosed() const = 0;

    /// Returns the number of bytes that are not yet written to the socket.
    virtual std::size_t unsentBytes() const = 0;
};

using RawExchangePtr = std::shared_ptr<RawExchange>;

/// HTTP/1.1 server that leaves all bytes of its responses to its handler.
class RawHttpServer
{
public:
    using Handler = std::function<void(const RawExchangePtr &)>;

    RawHttpServer(EventLoop &loop, Handler handler);
    ~RawHttpServer();
    RawHttpServer(const RawHttpServer &) = delete;
    RawHttpServer &operator=(const RawHttpServer &) = delete;

    Endpoint endpoint() const { return this->boundEndpoint; }

private:
    class Connection;

    static void onAccepted(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address,
                           int length, void *self);
    void remove(Connection *connection);

    EventLoop &loop;
    Handler handler;
    evconnlistener *listener;
    Endpoint boundEndpoint;
    std::list<std::shared_ptr<Connection>> connections;
};

} // namespace dotterel::soak
