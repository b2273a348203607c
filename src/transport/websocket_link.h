#pragma once

#include "core/enum_names.h"
#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evconnlistener;
struct sockaddr;

namespace dotterel {

/// Why a link was closed.
enum class LinkCloseReason {
    ConnectFailed,
    HandshakeFailed,
    PeerClosed,
    LocalClosed,
    FrameTooLarge,
    ProtocolError,
    PeerTooSlow, ///< Unsent bytes exceeded the limit.
    PeerSilent,  ///< No message arrived for too long; detected by the user of the link.
};

/// Returns the name of \a end in logs.
std::string_view linkCloseReasonName(LinkCloseReason reason);

/// Receives the events of a WebsocketLink. The observer may destroy the link in any of the calls.
class LinkObserver
{
public:
    virtual ~LinkObserver() = default;

    /// The handshake is complete and messages can be sent.
    virtual void onLinkOpened() = 0;

    /// A complete binary message arrived.
    virtual void onFrame(std::string_view bytes) = 0;

    /// The link is closed. No other call follows.
    virtual void onLinkClosed(LinkCloseReason reason) = 0;
};

/// One WebSocket connection, over websocketpp's iostream transport on a libevent bufferevent.
class WebsocketLink
{
public:
    virtual ~WebsocketLink() = default;

    /// Sends one binary message. Closes the link with PeerTooSlow if too many bytes are unsent.
    virtual void sendFrame(std::string_view bytes) = 0;

    /// Hands to the socket what it takes at once, closes the link and notifies the observer with
    /// LocalClosed.
    virtual void close() = 0;

    /// Returns the number of bytes that are not yet handed to the socket. After the end of the link
    /// it is the number of bytes that were lost.
    virtual std::size_t unsentBytes() const = 0;

    /// Sets the observer; an accepted link has none at first.
    virtual void setObserver(LinkObserver *observer) = 0;
};

/// Limits of one link.
struct LinkLimits
{
    std::size_t maxFrameBytes = 64UL * 1024;
    std::size_t maxUnsentBytes = 1024UL * 1024;
    Duration handshakeTimeout = std::chrono::seconds(2);
};

/// Opens a link to \a endpoint.
std::unique_ptr<WebsocketLink> connectWebsocket(EventLoop &loop, const Endpoint &endpoint,
                                                const LinkLimits &limits, LinkObserver &observer);

/// Accepts incoming links.
class WebsocketListener
{
public:
    using Handler = std::function<void(std::unique_ptr<WebsocketLink>)>;

    /// Listens on \a endpoint; port 0 selects a free port. Throws std::runtime_error on failure.
    WebsocketListener(EventLoop &loop, const Endpoint &endpoint, const LinkLimits &limits,
                      Handler handler);
    ~WebsocketListener();
    WebsocketListener(const WebsocketListener &) = delete;
    WebsocketListener &operator=(const WebsocketListener &) = delete;

    /// Returns the bound address and port.
    Endpoint endpoint() const { return this->boundEndpoint; }

private:
    static void onAccepted(evconnlistener *listener, int descriptor, sockaddr *address, int length,
                           void *self);
    void accept(int descriptor);

    EventLoop &loop;
    LinkLimits limits;
    Handler handler;
    evconnlistener *listener;
    EventLoop::TimerHandle acceptTimer;
    Endpoint boundEndpoint;
};

} // namespace dotterel
