#pragma once

#include "gateway/forward_controller.h"
#include "transport/keep_alive_http_client.h"

#include <map>
#include <memory>

namespace dotterel {

/// Sends the attempts of a ForwardController over keep-alive connections and reports their
/// responses to it.
class GatewayAttempts
{
public:
    /// \a onReported is called from the event loop after each report to the controller, except for
    /// a response head.
    GatewayAttempts(EventLoop &loop, HttpSender &client, ForwardController &controller,
                    std::function<void()> onReported);
    ~GatewayAttempts();

    /// Sends \a request and reports the response of \a attempt until it ends or is cancelled.
    void send(ForwardAttemptId attempt, const HttpRequest &request);

    /// Closes the connection of \a attempt; nothing more is reported for it.
    void cancel(ForwardAttemptId attempt);

    /// Pauses or resumes reading the response of \a attempt.
    void pause(ForwardAttemptId attempt, bool paused);

private:
    class ActiveAttempt;

    std::shared_ptr<ActiveAttempt> removeAttempt(ForwardAttemptId attempt);

    EventLoop &loop;
    HttpSender &client;
    ForwardController &controller;
    std::function<void()> onReported;
    std::map<ForwardAttemptId, std::shared_ptr<ActiveAttempt>> activeAttempts;
};

} // namespace dotterel
