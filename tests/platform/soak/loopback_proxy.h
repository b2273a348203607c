#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <event2/util.h>
#include <list>
#include <memory>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace dotterel::soak {

/// Fault that a LoopbackProxy injects into its connections.
enum class LinkFault {
    None,
    Delayed,    ///< Bytes in both directions arrive late.
    NoRequests, ///< Bytes from the client are dropped.
    NoAnswers,  ///< Bytes from the server are dropped.
    Silent,     ///< All bytes are dropped, and no connection is closed or reset.
};

/// TCP proxy on the loopback interface that forwards connections to one address and injects faults.
class LoopbackProxy
{
public:
    LoopbackProxy(EventLoop &loop, const Endpoint &target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    Endpoint endpoint() const { return this->bound; }

    /// Sets the fault for all connections. Dropped bytes are never delivered, so setting
    /// LinkFault::None resets every connection that lost bytes.
    void setFault(LinkFault newFault);

    /// Resets all connections.
    void resetAll();

private:
    struct Pair;

    static void accepted(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address,
                         int length, void *context);
    static void readable(bufferevent *stream, void *pair);
    static void ended(bufferevent *stream, short events, void *pair);
    void pass(Pair &pair, bufferevent *source);
    void remove(Pair &pair);

    EventLoop &loop;
    Endpoint target;
    Endpoint bound;
    evconnlistener *listener;
    LinkFault fault = LinkFault::None;
    std::list<std::shared_ptr<Pair>> pairs;
};

} // namespace dotterel::soak
