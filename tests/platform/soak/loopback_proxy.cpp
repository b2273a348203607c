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

struct LoopbackProxy::Pair
{
    LoopbackProxy *owner = nullptr;
    bufferevent *caller = nullptr;
    bufferevent *server = nullptr;
    bool harmed = false; ///< Bytes of this connection were dropped.
    std::list<EventLoop::TimerHandle> delays;

    ~Pair()
    {
        bufferevent_free(this->caller);
        bufferevent_free(this->server);
    }
};

LoopbackProxy::LoopbackProxy(EventLoop &loop, const Endpoint &target)
    : loop(loop)
    , target(target)
{
    sockaddr_in address = socketAddress(Endpoint());
    this->listener =
            evconnlistener_new_bind(loop.base(), &LoopbackProxy::accepted, this,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog,
                                    reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot open the listening socket of the proxy for "
                                 + target.text());
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr *>(&address),
                &length);
    this->bound.port = ntohs(address.sin_port);
}

LoopbackProxy::~LoopbackProxy()
{
    evconnlistener_free(this->listener);
}

void LoopbackProxy::accepted(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                             sockaddr * /*address*/, int /*length*/, void *context)
{
    auto *proxy = static_cast<LoopbackProxy *>(context);
    event_base *base = proxy->loop.base();
    const auto pair = std::make_shared<Pair>();
    pair->owner = proxy;
    pair->caller = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    pair->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in address = socketAddress(proxy->target);
    bufferevent_socket_connect(pair->server, reinterpret_cast<sockaddr *>(&address),
                               sizeof(address));
    for (bufferevent *stream : {pair->caller, pair->server}) {
        bufferevent_setcb(stream, &LoopbackProxy::readable, nullptr, &LoopbackProxy::ended,
                          pair.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    proxy->pairs.push_back(pair);
}

void LoopbackProxy::readable(bufferevent *stream, void *pair)
{
    auto *connection = static_cast<Pair *>(pair);
    connection->owner->pass(*connection, stream);
}

void LoopbackProxy::pass(Pair &pair, bufferevent *source)
{
    evbuffer *input = bufferevent_get_input(source);
    bufferevent *destination = source == pair.caller ? pair.server : pair.caller;
    const LinkFault droppingFault =
            source == pair.caller ? LinkFault::NoRequests : LinkFault::NoAnswers;
    if (this->fault == LinkFault::Silent || this->fault == droppingFault) {
        pair.harmed = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (this->fault != LinkFault::Delayed && pair.delays.empty()) {
        evbuffer_add_buffer(bufferevent_get_output(destination), input);
        return;
    }
    const std::size_t length = evbuffer_get_length(input);
    auto bytes = std::make_shared<std::string>(length, '\0');
    evbuffer_remove(input, bytes->data(), length);
    const auto position = pair.delays.emplace(pair.delays.end());
    *position = this->loop.after(ForwardDelay, [&pair, destination, bytes, position] {
        evbuffer_add(bufferevent_get_output(destination), bytes->data(), bytes->size());
        pair.delays.erase(position);
    });
}

void LoopbackProxy::ended(bufferevent *stream, short events, void *pair)
{
    if ((events & BEV_EVENT_CONNECTED) != 0)
        return;
    auto *connection = static_cast<Pair *>(pair);
    // On a silent link the other side does not learn of the close either.
    if (connection->owner->fault == LinkFault::Silent) {
        connection->harmed = true;
        bufferevent_disable(stream, EV_READ | EV_WRITE);
        return;
    }
    if ((events & BEV_EVENT_ERROR) != 0) {
        resetOnClose(connection->caller);
        resetOnClose(connection->server);
    }
    connection->owner->remove(*connection);
}

void LoopbackProxy::remove(Pair &pair)
{
    for (auto position = this->pairs.begin(); position != this->pairs.end(); ++position) {
        if (position->get() != &pair)
            continue;
        // Bytes that were forwarded but not sent yet are sent before the close.
        bufferevent_flush(pair.caller, EV_WRITE, BEV_FINISHED);
        bufferevent_flush(pair.server, EV_WRITE, BEV_FINISHED);
        this->loop.disposeLater(*position);
        this->pairs.erase(position);
        return;
    }
}

void LoopbackProxy::setFault(LinkFault newFault)
{
    this->fault = newFault;
    if (newFault != LinkFault::None)
        return;
    for (auto position = this->pairs.begin(); position != this->pairs.end();) {
        const auto pair = *position++;
        if (!pair->harmed)
            continue;
        resetOnClose(pair->caller);
        resetOnClose(pair->server);
        this->remove(*pair);
    }
}

void LoopbackProxy::resetAll()
{
    while (!this->pairs.empty()) {
        resetOnClose(this->pairs.front()->caller);
        resetOnClose(this->pairs.front()->server);
        this->remove(*this->pairs.front());
    }
}

} // namespace dotterel::soak
