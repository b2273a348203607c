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

/// What a LoopbackProxy does with the bytes of its connections.
enum class LinkFault {
    None,
    Delayed,    ///< Bytes arrive late.
    NoRequests, ///< What the connecting side sends is lost.
    NoAnswers,  ///< What the other side sends is lost.
    Silent,     ///< Nothing arrives, and nothing is reset.
};

/// Passes TCP connections on to another address on this machine, and harms them when told.
class LoopbackProxy
{
public:
    LoopbackProxy(EventLoop &loop, const Endpoint &target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    Endpoint endpoint() const { return this->bound; }

    /// Sets what happens to all bytes from now on. Lost bytes do not come back: when a fault that
    /// loses them ends, the connections that lived through it are reset.
    void setFault(LinkFault newFault);

    /// Breaks all connections.
    void resetAll();

private:
    struct Pair;

    static void accepted(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address,
                         int length, void *self);
    static void readable(bufferevent *stream, void *pair);
    static void ended(bufferevent *stream, short what, void *pair);
    void pass(Pair &pair, bufferevent *from);
    void remove(Pair &pair);

    EventLoop &loop;
    Endpoint target;
    Endpoint bound;
    evconnlistener *listener;
    LinkFault fault = LinkFault::None;
    std::list<std::shared_ptr<Pair>> pairs;
};

} // namespace dotterel::soak
