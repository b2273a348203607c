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

/// Why a link closed.
enum class LinkEnd {
    ConnectFailed,
    HandshakeFailed,
    PeerClosed,
    LocalClosed,
    FrameTooLarge,
    ProtocolError,
    PeerTooSlow, ///< The peer left too much unread.
    PeerSilent,  ///< Nothing was heard for too long; decided by the user of the link.
};

/// Returns the external name of \a end.
std::string_view linkEndName(LinkEnd end);

/// Gets what happens on a WebsocketLink. The observer may destroy the link from any call.
class LinkObserver
{
public:
    virtual ~LinkObserver() = default;

    /// The handshake is done and frames can be sent.
    virtual void onLinkOpened() = 0;

    /// A whole binary message arrived.
    virtual void onFrame(std::string_view bytes) = 0;

    /// The link is closed; the last call.
    virtual void onLinkClosed(LinkEnd end) = 0;
};

/// One WebSocket connection, over websocketpp's iostream transport on a libevent bufferevent.
class WebsocketLink
{
public:
    virtual ~WebsocketLink() = default;

    /// Sends one binary message. Closes the link if the peer has left too much unread.
    virtual void sendFrame(std::string_view bytes) = 0;

    /// Closes the link; the observer hears LocalClosed.
    virtual void close() = 0;

    /// Sets who hears of this link; an accepted link has no observer at first.
    virtual void setObserver(LinkObserver *observer) = 0;
};

/// Limits on one link.
struct LinkLimits
{
    std::size_t maxFrameBytes = 64UL * 1024;
    std::size_t maxUnsentBytes = 1024UL * 1024;
    Duration handshakeTimeout = std::chrono::seconds(2);
};

/// Opens a link to \a endpoint.
std::unique_ptr<WebsocketLink> connectWebsocket(EventLoop &loop, const Endpoint &endpoint,
                                                const LinkLimits &limits, LinkObserver &observer);

/// Accepts links.
class WebsocketListener
{
public:
    using Handler = std::function<void(std::unique_ptr<WebsocketLink>)>;

    /// Listens on \a endpoint; port 0 takes a free one. Throws std::runtime_error if it cannot.
    WebsocketListener(EventLoop &loop, const Endpoint &endpoint, const LinkLimits &limits,
                      Handler handler);
    ~WebsocketListener();
    WebsocketListener(const WebsocketListener &) = delete;
    WebsocketListener &operator=(const WebsocketListener &) = delete;

    /// The address and port in use.
    Endpoint endpoint() const { return this->boundEndpoint; }

private:
    static void accepted(evconnlistener *listener, int descriptor, sockaddr *address, int length,
                         void *self);

    EventLoop &loop;
    LinkLimits limits;
    Handler handler;
    evconnlistener *listener;
    Endpoint boundEndpoint;
};

} // namespace dotterel
