#include "transport/websocket_link.h"

#include "transport/socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace dotterel {

namespace {

/// Drops a connection immediately after a protocol error. The peer may never answer the closing
/// handshake, and the iostream transport has no timers to abort it.
struct ServerConfig : websocketpp::config::core
{
    static const bool drop_on_protocol_error = true; // NOLINT(readability-identifier-naming)
};
struct ClientConfig : websocketpp::config::core_client
{
    static const bool drop_on_protocol_error = true; // NOLINT(readability-identifier-naming)
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;

constexpr std::array<EnumName<LinkCloseReason>, 8> LinkCloseReasonNames = {{
        {LinkCloseReason::ConnectFailed, "connect_failed"},
        {LinkCloseReason::HandshakeFailed, "handshake_failed"},
        {LinkCloseReason::PeerClosed, "peer_closed"},
        {LinkCloseReason::LocalClosed, "local_closed"},
        {LinkCloseReason::FrameTooLarge, "frame_too_large"},
        {LinkCloseReason::ProtocolError, "protocol_error"},
        {LinkCloseReason::PeerTooSlow, "peer_too_slow"},
        {LinkCloseReason::PeerSilent, "peer_silent"},
}};

void setNoDelay(evutil_socket_t descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

/// Connects one websocketpp connection to one bufferevent. `EndpointType` is the role, Server or
/// Client.
template <typename EndpointType>
class LinkState : public std::enable_shared_from_this<LinkState<EndpointType>>
{
public:
    LinkState(EventLoop &loop, const LinkLimits &limits, bufferevent *stream)
        : loop(loop)
        , limits(limits)
        , stream(stream)
    {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
        this->endpoint.set_max_message_size(limits.maxFrameBytes);
        this->handshakeTimer = loop.after(limits.handshakeTimeout, [this] {
            if (!this->opened)
                this->closeLink(LinkCloseReason::HandshakeFailed);
        });
    }
    ~LinkState()
    {
        this->closeStream();
        if (this->connection == nullptr)
            return;
        // A pending read keeps the connection alive; only the end of the stream releases it.
        this->connection->set_write_handler(nullptr);
        this->connection->set_open_handler(nullptr);
        this->connection->set_message_handler(nullptr);
        this->connection->set_close_handler(nullptr);
        this->connection->set_fail_handler(nullptr);
        this->connection->eof();
    }
    LinkState(const LinkState &) = delete;
    LinkState &operator=(const LinkState &) = delete;

    void attachConnection(typename EndpointType::connection_ptr newConnection)
    {
        this->connection = std::move(newConnection);
        this->connection->set_write_handler(
                [this](const websocketpp::connection_hdl &, const char *bytes, std::size_t length) {
                    return this->write(bytes, length);
                });
        this->connection->set_open_handler([this](const websocketpp::connection_hdl &) {
            this->opened = true;
            if (this->observer != nullptr)
                this->observer->onLinkOpened();
        });
        this->connection->set_message_handler(
                [this](const websocketpp::connection_hdl &,
                       const typename EndpointType::message_ptr &message) {
                    if (message->get_opcode() != websocketpp::frame::opcode::binary)
                        this->closeLink(LinkCloseReason::ProtocolError);
                    else if (this->observer != nullptr)
                        this->observer->onFrame(message->get_payload());
                });
        this->connection->set_close_handler([this](const websocketpp::connection_hdl &) {
            this->closeLink(this->closeReason(LinkCloseReason::PeerClosed));
        });
        this->connection->set_fail_handler([this](const websocketpp::connection_hdl &) {
            this->closeLink(this->closeReason(LinkCloseReason::HandshakeFailed));
        });
    }

    void enableStream()
    {
        bufferevent_setcb(this->stream, &LinkState::onReadable, nullptr, &LinkState::onStreamEvent,
                          this);
        bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    }

    /// Closes the link from the event loop, since its owner has no handle yet.
    void scheduleConnectFailure()
    {
        this->handshakeTimer = this->loop.after(
                Duration::zero(), [this] { this->closeLink(LinkCloseReason::ConnectFailed); });
    }

    void sendFrame(std::string_view bytes)
    {
        if (this->closed || !this->opened)
            return;
        const websocketpp::lib::error_code error = this->connection->send(
                bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
        // A write that fails has closed the link.
        if (this->closed)
            return;
        if (error)
            this->closeLink(LinkCloseReason::ProtocolError);
        else if (this->unsentBytes() > this->limits.maxUnsentBytes)
            this->closeLink(LinkCloseReason::PeerTooSlow);
    }

    void closeLink(LinkCloseReason reason)
    {
        if (this->closed)
            return;
        const std::shared_ptr<LinkState> selfReference = this->weak_from_this().lock();
        this->closed = true;
        this->handshakeTimer.reset();
        this->closeStream();
        LinkObserver *const notifiedObserver = this->observer;
        this->observer = nullptr;
        if (notifiedObserver != nullptr)
            this->loop.contain("peer_link", [&] { notifiedObserver->onLinkClosed(reason); });
    }

    std::size_t unsentBytes() const
    {
        return this->stream == nullptr ? this->lostBytes
                                       : evbuffer_get_length(bufferevent_get_output(this->stream));
    }

    /// Starts the client handshake once TCP is connected; empty on the server side.
    std::function<void()> onConnected;
    EndpointType endpoint;
    LinkObserver *observer = nullptr;

private:
    websocketpp::lib::error_code write(const char *bytes, std::size_t length)
    {
        if (this->stream == nullptr)
            return websocketpp::transport::error::make_error_code(
                    websocketpp::transport::error::pass_through);
        if (bufferevent_write(this->stream, bytes, length) != 0)
            return websocketpp::transport::error::make_error_code(
                    websocketpp::transport::error::general);
        return {};
    }

    LinkCloseReason closeReason(LinkCloseReason defaultReason) const
    {
        const websocketpp::lib::error_code error = this->connection->get_ec();
        if (error == websocketpp::processor::error::message_too_big)
            return LinkCloseReason::FrameTooLarge;
        if (this->opened && error
            && error.category() == websocketpp::processor::error::get_processor_category())
            return LinkCloseReason::ProtocolError;
        return defaultReason;
    }

    void closeStream()
    {
        if (this->stream == nullptr)
            return;
        this->flushOutput();
        this->lostBytes = evbuffer_get_length(bufferevent_get_output(this->stream));
        bufferevent_free(this->stream);
        this->stream = nullptr;
    }

    /// Writes the remaining output to the socket, as far as that takes it; freeing the bufferevent
    /// discards the rest.
    void flushOutput()
    {
        evbuffer *output = bufferevent_get_output(this->stream);
        const evutil_socket_t descriptor = bufferevent_getfd(this->stream);
        // A bufferevent keeps the start of its output frozen, so that nothing can be taken out.
        if (descriptor < 0 || evbuffer_unfreeze(output, 1) != 0)
            return;
        while (evbuffer_get_length(output) > 0 && evbuffer_write(output, descriptor) > 0) {
        }
    }

    static void onReadable(bufferevent *source, void *argument)
    {
        LinkState *self = static_cast<LinkState *>(argument);
        const std::shared_ptr<LinkState> selfReference = self->weak_from_this().lock();
        if (!self->loop.contain("peer_link", [&] {
                evbuffer *input = bufferevent_get_input(source);
                std::string bytes(evbuffer_get_length(input), '\0');
                evbuffer_remove(input, bytes.data(), bytes.size());
                self->connection->read_all(bytes.data(), bytes.size());
            }))
            self->closeLink(LinkCloseReason::ProtocolError);
    }

    static void onStreamEvent(bufferevent * /*source*/, short what, void *argument)
    {
        LinkState *self = static_cast<LinkState *>(argument);
        const std::shared_ptr<LinkState> selfReference = self->weak_from_this().lock();
        const bool connecting = self->onConnected != nullptr && !self->opened;
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            setNoDelay(bufferevent_getfd(self->stream));
            if (!self->loop.contain("peer_link", [self] { self->onConnected(); }))
                self->closeLink(LinkCloseReason::HandshakeFailed);
            return;
        }
        self->closeLink(connecting ? LinkCloseReason::ConnectFailed : LinkCloseReason::PeerClosed);
    }

    EventLoop &loop;
    LinkLimits limits;
    bufferevent *stream;
    typename EndpointType::connection_ptr connection;
    EventLoop::TimerHandle handshakeTimer;
    std::size_t lostBytes = 0;
    bool opened = false;
    bool closed = false;
};

/// Handle of a LinkState. The handle may be destroyed inside a callback of the state, so the state
/// is destroyed later.
template <typename EndpointType>
class LinkHandle : public WebsocketLink
{
public:
    LinkHandle(EventLoop &loop, std::shared_ptr<LinkState<EndpointType>> state)
        : loop(loop)
        , state(std::move(state))
    {}
    ~LinkHandle() override
    {
        this->state->observer = nullptr;
        this->state->closeLink(LinkCloseReason::LocalClosed);
        this->loop.disposeLater(std::move(this->state));
    }
    LinkHandle(const LinkHandle &) = delete;
    LinkHandle &operator=(const LinkHandle &) = delete;

    void sendFrame(std::string_view bytes) override { this->state->sendFrame(bytes); }
    void close() override { this->state->closeLink(LinkCloseReason::LocalClosed); }
    std::size_t unsentBytes() const override { return this->state->unsentBytes(); }
    void setObserver(LinkObserver *observer) override { this->state->observer = observer; }

private:
    EventLoop &loop;
    std::shared_ptr<LinkState<EndpointType>> state;
};

} // namespace

std::string_view linkCloseReasonName(LinkCloseReason reason)
{
    return enumName(LinkCloseReasonNames, reason);
}

std::unique_ptr<WebsocketLink> connectWebsocket(EventLoop &loop, const Endpoint &endpoint,
                                                const LinkLimits &limits, LinkObserver &observer)
{
    const std::optional<sockaddr_in> address = toSocketAddress(endpoint);
    bufferevent *stream = newStream(loop.base(), -1);
    auto state = std::make_shared<LinkState<Client>>(loop, limits, stream);
    state->observer = &observer;
    LinkState<Client> *const statePointer = state.get();
    const std::string uri = "ws://" + endpoint.text() + "/peer";
    state->onConnected = [statePointer, uri] {
        websocketpp::lib::error_code error;
        const Client::connection_ptr connection = statePointer->endpoint.get_connection(uri, error);
        if (error) {
            statePointer->closeLink(LinkCloseReason::HandshakeFailed);
            return;
        }
        statePointer->attachConnection(connection);
        statePointer->endpoint.connect(connection);
    };
    state->enableStream();
    if (!address
        || bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr *>(&*address),
                                      sizeof(*address))
                   != 0)
        state->scheduleConnectFailure();
    return std::make_unique<LinkHandle<Client>>(loop, std::move(state));
}

WebsocketListener::WebsocketListener(EventLoop &loop, const Endpoint &endpoint,
                                     const LinkLimits &limits, Handler handler)
    : loop(loop)
    , limits(limits)
    , handler(std::move(handler))
    , listener(nullptr)
    , boundEndpoint(endpoint)
{
    std::optional<sockaddr_in> address = toSocketAddress(endpoint);
    if (address)
        this->listener =
                evconnlistener_new_bind(loop.base(), &WebsocketListener::onAccepted, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<sockaddr *>(&*address), sizeof(*address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot listen on " + endpoint.text());
    stopOnAcceptError(this->listener);
    this->acceptTimer =
            loop.every(AcceptRetryInterval, [this] { evconnlistener_enable(this->listener); });
    this->boundEndpoint.port = localEndpoint(evconnlistener_get_fd(this->listener)).port;
}

WebsocketListener::~WebsocketListener()
{
    evconnlistener_free(this->listener);
}

void WebsocketListener::onAccepted(evconnlistener * /*listener*/, int descriptor,
                                   sockaddr * /*address*/, int /*length*/, void *self)
{
    WebsocketListener *owner = static_cast<WebsocketListener *>(self);
    owner->loop.contain("peer_link", [owner, descriptor] { owner->accept(descriptor); });
}

void WebsocketListener::accept(int descriptor)
{
    setNoDelay(descriptor);
    bufferevent *stream = newStream(this->loop.base(), descriptor);
    auto state = std::make_shared<LinkState<Server>>(this->loop, this->limits, stream);
    const Server::connection_ptr connection = state->endpoint.get_connection();
    state->attachConnection(connection);
    state->enableStream();
    connection->start();
    this->handler(std::make_unique<LinkHandle<Server>>(this->loop, std::move(state)));
}

} // namespace dotterel
