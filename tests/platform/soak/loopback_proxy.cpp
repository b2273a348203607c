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

/// How late delayed bytes arrive: longer than any pause between two bytes of a healthy link.
constexpr Duration Delay = std::chrono::milliseconds(120);
constexpr int Backlog = 128;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

/// Makes the close of \a stream a reset.
void resetOnClose(bufferevent *stream)
{
    const linger now{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

} // namespace

struct LoopbackProxy::Pair
{
    LoopbackProxy *owner = nullptr;
    bufferevent *caller = nullptr;
    bufferevent *server = nullptr;
    bool harmed = false; ///< Bytes were lost on it.
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
    sockaddr_in address = addressOf(Endpoint());
    this->listener =
            evconnlistener_new_bind(loop.base(), &LoopbackProxy::accepted, this,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, Backlog,
                                    reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot listen for the proxy of " + target.text());
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
                             sockaddr * /*address*/, int /*length*/, void *self)
{
    auto *proxy = static_cast<LoopbackProxy *>(self);
    event_base *base = proxy->loop.base();
    const auto pair = std::make_shared<Pair>();
    pair->owner = proxy;
    pair->caller = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    pair->server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in address = addressOf(proxy->target);
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
    auto *known = static_cast<Pair *>(pair);
    known->owner->pass(*known, stream);
}

void LoopbackProxy::pass(Pair &pair, bufferevent *from)
{
    evbuffer *input = bufferevent_get_input(from);
    bufferevent *to = from == pair.caller ? pair.server : pair.caller;
    const LinkFault lost = from == pair.caller ? LinkFault::NoRequests : LinkFault::NoAnswers;
    if (this->fault == LinkFault::Silent || this->fault == lost) {
        pair.harmed = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (this->fault != LinkFault::Delayed && pair.delays.empty()) {
        evbuffer_add_buffer(bufferevent_get_output(to), input);
        return;
    }
    const std::size_t length = evbuffer_get_length(input);
    auto bytes = std::make_shared<std::string>(length, '\0');
    evbuffer_remove(input, bytes->data(), length);
    const auto place = pair.delays.emplace(pair.delays.end());
    *place = this->loop.after(Delay, [&pair, to, bytes, place] {
        evbuffer_add(bufferevent_get_output(to), bytes->data(), bytes->size());
        pair.delays.erase(place);
    });
}

void LoopbackProxy::ended(bufferevent *stream, short what, void *pair)
{
    if ((what & BEV_EVENT_CONNECTED) != 0)
        return;
    auto *known = static_cast<Pair *>(pair);
    // A close does not get through a link that carries nothing.
    if (known->owner->fault == LinkFault::Silent) {
        known->harmed = true;
        bufferevent_disable(stream, EV_READ | EV_WRITE);
        return;
    }
    if ((what & BEV_EVENT_ERROR) != 0) {
        resetOnClose(known->caller);
        resetOnClose(known->server);
    }
    known->owner->remove(*known);
}

void LoopbackProxy::remove(Pair &pair)
{
    for (auto place = this->pairs.begin(); place != this->pairs.end(); ++place) {
        if (place->get() != &pair)
            continue;
        // What was passed on but not sent yet is sent before the close.
        bufferevent_flush(pair.caller, EV_WRITE, BEV_FINISHED);
        bufferevent_flush(pair.server, EV_WRITE, BEV_FINISHED);
        this->loop.disposeLater(*place);
        this->pairs.erase(place);
        return;
    }
}

void LoopbackProxy::setFault(LinkFault newFault)
{
    this->fault = newFault;
    if (newFault != LinkFault::None)
        return;
    for (auto place = this->pairs.begin(); place != this->pairs.end();) {
        const auto pair = *place++;
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
