#pragma once

#include "gateway/forward_controller.h"
#include "transport/keep_alive_http_server.h"

#include <functional>

namespace dotterel {

/// Accepts the requests that other entry hosts hand over. Plain HTTP as between callers and hosts,
/// so that streams, flow control and cancellation are those of the transport; a connection of the
/// mesh would hold up its heartbeats. The requests are marked in their ids, since a
/// ForwardController gets those of callers too.
class RelayListener : private HttpCallHandler
{
public:
    /// Listens on \a endpoint; throws std::runtime_error if that fails. \a onReported is called
    /// after each report to \a controller.
    RelayListener(EventLoop &loop, const Endpoint &endpoint,
                  const KeepAliveHttpServerLimits &limits, ForwardController &controller,
                  std::function<void()> onReported, EventLog &log);

    /// Returns true if \a call came from another host.
    static bool isRelayed(HttpCallId call) { return (call & RelayedMark) != 0; }

    /// Returns the id of \a call at server().
    static HttpCallId serverCall(HttpCallId call) { return call & ~RelayedMark; }

    KeepAliveHttpServer &server() { return this->httpServer; }
    const KeepAliveHttpServer &server() const { return this->httpServer; }

private:
    void onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                       std::shared_ptr<const std::string> body) override;
    void onHttpPeerClosed(HttpCallId call) override;
    void onHttpDrained(HttpCallId call) override;
    void onHttpRejected(int status) override;

    static constexpr HttpCallId RelayedMark = HttpCallId{1} << 63U;

    EventLoop &loop;
    ForwardController &controller;
    std::function<void()> onReported;
    EventLog &log;
    KeepAliveHttpServer httpServer;
};

} // namespace dotterel
