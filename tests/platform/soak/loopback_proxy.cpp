#include "platform/soak/loopback_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>

namespace dotterel::soak {

namespace {

/// Delay of LinkFault::Delayed; longer than any pause between two bytes on a healthy link.
constexpr Duration ForwardDelay = std::chrono::milliseconds(120);
constexpr int ListenBacklog = 128;
/// Not the address of the hosts: a host that starts must not get the port of a server that is gone.
constexpr const char *ListenAddress = "127.0.0.2";
/// How often a closed connection is checked for bytes that have to be sent first.
constexpr Duration CloseCheckInterval = std::chrono::milliseconds(1);

sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

/// Makes closing \a stream send a TCP reset.
void resetOnClose(bufferevent *stream)
{
    const linger zeroLinger{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof(zeroLinger));
}

} // namespace

struct LoopbackProxy::Connection
{
    LoopbackProxy *owner = nullptr;
    bufferevent *client = nullptr;
    bufferevent *server = nullptr;
    bool lostBytes = false; ///< Bytes of this connection were dropped.
    bool silent = false;    ///< All bytes are dropped until a peer closes the connection.
    std::list<EventLoop::TimerHandle> delayTimers;
    EventLoop::TimerHandle closeTimer;

    ~Connection()
    {
        bufferevent_free(this->client);
        bufferevent_free(this->server);
    }
};

LoopbackProxy::LoopbackProxy(EventLoop &loop, const Endpoint &target)
    : loop(loop)
    , target(target)
{
    this->listenEndpoint.address = ListenAddress;
    sockaddr_in address = socketAddress(this->listenEndpoint);
    this->listener =
            evconnlistener_new_bind(loop.base(), &LoopbackProxy::onAccepted, this,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog,
                                    reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot open the listening socket of the proxy for "
                                 + target.text());
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr *>(&address),
                &length);
    this->listenEndpoint.port = ntohs(address.sin_port);
}

LoopbackProxy::~LoopbackProxy()
{
    this->stopListening();
}

void LoopbackProxy::onAccepted(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                               sockaddr * /*address*/, int /*length*/, void *context)
{
    auto *proxy = static_cast<LoopbackProxy *>(context);
    event_base *base = proxy->loop.base();
    const auto connection = std::make_shared<Connection>();
    connection->owner = proxy;
    connection->client = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    connection->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in address = socketAddress(proxy->target);
    bufferevent_socket_connect(connection->server, reinterpret_cast<sockaddr *>(&address),
                               sizeof(address));
    for (bufferevent *stream : {connection->client, connection->server}) {
        bufferevent_setcb(stream, &LoopbackProxy::onReadable, nullptr,
                          &LoopbackProxy::onStreamEvent, connection.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    proxy->connections.push_back(connection);
}

void LoopbackProxy::onReadable(bufferevent *stream, void *context)
{
    auto *connection = static_cast<Connection *>(context);
    connection->owner->forward(*connection, stream);
}

void LoopbackProxy::forward(Connection &connection, bufferevent *source)
{
    evbuffer *input = bufferevent_get_input(source);
    if (this->fault == LinkFault::ResetAccepted) {
        resetOnClose(connection.client);
        this->closeConnection(connection);
        return;
    }
    if (connection.silent) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    bufferevent *destination = source == connection.client ? connection.server : connection.client;
    const LinkFault droppingFault =
            source == connection.client ? LinkFault::DropClientBytes : LinkFault::DropServerBytes;
    if (this->fault == LinkFault::DropAllBytes || this->fault == droppingFault) {
        connection.lostBytes = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (this->fault != LinkFault::DelayBytes && connection.delayTimers.empty()) {
        evbuffer_add_buffer(bufferevent_get_output(destination), input);
        return;
    }
    const std::size_t length = evbuffer_get_length(input);
    auto bytes = std::make_shared<std::string>(length, '\0');
    evbuffer_remove(input, bytes->data(), length);
    const auto position = connection.delayTimers.emplace(connection.delayTimers.end());
    *position = this->loop.after(ForwardDelay, [&connection, destination, bytes, position] {
        evbuffer_add(bufferevent_get_output(destination), bytes->data(), bytes->size());
        connection.delayTimers.erase(position);
    });
}

void LoopbackProxy::onStreamEvent(bufferevent *stream, short events, void *context)
{
    if ((events & BEV_EVENT_CONNECTED) != 0)
        return;
    auto *connection = static_cast<Connection *>(context);
    // The peer of a silent connection does not learn that the other side closed it.
    if (connection->silent && stream == connection->server) {
        bufferevent_disable(stream, EV_READ | EV_WRITE);
        return;
    }
    // With DropAllBytes the other side does not learn of the close either.
    if (connection->owner->fault == LinkFault::DropAllBytes) {
        connection->lostBytes = true;
        bufferevent_disable(stream, EV_READ | EV_WRITE);
        return;
    }
    // TCP does not end in order after bytes that never arrived.
    if ((events & BEV_EVENT_ERROR) != 0 || connection->lostBytes) {
        resetOnClose(connection->client);
        resetOnClose(connection->server);
        return connection->owner->closeConnection(*connection);
    }
    connection->owner->closeOnceSent(*connection);
}

void LoopbackProxy::closeOnceSent(Connection &connection)
{
    const auto unsentBytes = [](bufferevent *stream) {
        return evbuffer_get_length(bufferevent_get_output(stream));
    };
    const bool sent = connection.delayTimers.empty() && unsentBytes(connection.client) == 0
                      && unsentBytes(connection.server) == 0;
    if (sent)
        return this->closeConnection(connection);
    connection.closeTimer = this->loop.after(
            CloseCheckInterval, [this, &connection] { this->closeOnceSent(connection); });
}

void LoopbackProxy::closeConnection(Connection &connection)
{
    for (auto position = this->connections.begin(); position != this->connections.end();
         ++position) {
        if (position->get() != &connection)
            continue;
        this->loop.disposeLater(*position);
        this->connections.erase(position);
        return;
    }
}

void LoopbackProxy::setFault(LinkFault newFault)
{
    this->fault = newFault;
    this->lastDisturbedAt = this->loop.now();
    if (newFault != LinkFault::None)
        return;
    for (auto position = this->connections.begin(); position != this->connections.end();) {
        const auto connection = *position++;
        if (!connection->lostBytes)
            continue;
        resetOnClose(connection->client);
        resetOnClose(connection->server);
        this->closeConnection(*connection);
    }
}

void LoopbackProxy::stopListening()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
    this->listener = nullptr;
}

void LoopbackProxy::silenceConnections()
{
    this->lastDisturbedAt = this->loop.now();
    for (const auto &connection : this->connections)
        connection->silent = true;
}

void LoopbackProxy::resetConnections()
{
    while (!this->connections.empty()) {
        resetOnClose(this->connections.front()->client);
        resetOnClose(this->connections.front()->server);
        this->closeConnection(*this->connections.front());
    }
}

} // namespace dotterel::soak
