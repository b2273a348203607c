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
    DelayBytes,      ///< Bytes in both directions arrive late.
    DropClientBytes, ///< Bytes from the client are dropped.
    DropServerBytes, ///< Bytes from the server are dropped.
    DropAllBytes,    ///< All bytes are dropped, and no connection is closed or reset.
    ResetAccepted,   ///< Connections are accepted and reset as soon as bytes arrive on them.
};

/// TCP proxy on the loopback interface that forwards connections to one address and injects faults.
class LoopbackProxy
{
public:
    LoopbackProxy(EventLoop &loop, const Endpoint &target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    Endpoint endpoint() const { return this->listenEndpoint; }

    /// Sets the fault for all connections. Dropped bytes are never delivered, so setting
    /// LinkFault::None resets every connection that lost bytes.
    void setFault(LinkFault newFault);

    /// Returns true if bytes may have been late or lost at some time since \a time.
    bool wasDisturbedSince(TimePoint time) const
    {
        return this->fault != LinkFault::None || this->lastDisturbedAt >= time;
    }

    /// Refuses new connections from now on.
    void stopListening();

    /// Resets all connections.
    void resetConnections();

    /// Makes all open connections silent for good: their bytes are dropped, while TCP still
    /// acknowledges them and answers keep-alive probes. New connections work.
    void silenceConnections();

private:
    struct Connection;

    static void onAccepted(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address,
                           int length, void *context);
    static void onReadable(bufferevent *stream, void *context);
    static void onStreamEvent(bufferevent *stream, short events, void *context);
    void forward(Connection &connection, bufferevent *source);
    void closeConnection(Connection &connection);
    /// Closes the connection in order after the bytes that are on their way.
    void closeOnceSent(Connection &connection);

    EventLoop &loop;
    Endpoint target;
    Endpoint listenEndpoint;
    evconnlistener *listener;
    LinkFault fault = LinkFault::None;
    TimePoint lastDisturbedAt;
    std::list<std::shared_ptr<Connection>> connections;
};

} // namespace dotterel::soak
