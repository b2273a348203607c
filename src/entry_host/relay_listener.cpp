#include "entry_host/relay_listener.h"

namespace dotterel {

namespace {

constexpr int StatusBadRequest = 400;

} // namespace

RelayListener::RelayListener(EventLoop &loop, const Endpoint &endpoint,
                             const KeepAliveHttpServerLimits &limits, ForwardController &controller,
                             std::function<void()> onReported, EventLog &log)
    : loop(loop)
    , controller(controller)
    , onReported(std::move(onReported))
    , log(log)
    , httpServer(loop, endpoint, limits, *this)
{}

void RelayListener::onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                                  std::shared_ptr<const std::string> body)
{
    const tl::expected<RelayEnvelope, std::string> envelope = takeRelayEnvelope(head.headers);
    if (!envelope) {
        this->log.write(Event::PeerFrameRejected,
                        {{"channel", std::string("relay")}, {"error", envelope.error()}});
        return this->httpServer.reply(call, StatusBadRequest, {}, "");
    }
    this->controller.onRelayedRequest(call | RelayedMark, std::move(head), std::move(body),
                                      *envelope, this->loop.now());
    this->onReported();
}

void RelayListener::onHttpPeerClosed(HttpCallId call)
{
    this->controller.onCallerDisconnected(call | RelayedMark, this->loop.now());
    this->onReported();
}

void RelayListener::onHttpDrained(HttpCallId call)
{
    this->controller.onCallerDrained(call | RelayedMark, this->loop.now());
    this->onReported();
}

void RelayListener::onHttpRejected(int status)
{
    this->log.write(Event::PeerFrameRejected,
                    {{"channel", std::string("relay")}, {"error", std::to_string(status)}});
}

} // namespace dotterel
