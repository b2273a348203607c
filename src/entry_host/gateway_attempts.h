#pragma once

#include "gateway/forward_controller.h"
#include "transport/kept_http_client.h"

#include <map>
#include <memory>

namespace dotterel {

/// Runs the attempts of a ForwardController over kept connections.
class GatewayAttempts
{
public:
    /// \a settled is called after each report to the controller, from the loop.
    GatewayAttempts(EventLoop &loop, HttpSender &client, ForwardController &controller,
                    std::function<void()> settled);
    ~GatewayAttempts();

    /// Sends \a request and reports on \a attempt until it ends or is cancelled.
    void send(ForwardAttemptId attempt, const HttpRequest &request);

    /// Closes the connection of \a attempt.
    void cancel(ForwardAttemptId attempt);

    /// Stops reading the answer of \a attempt, or goes on.
    void pause(ForwardAttemptId attempt, bool paused);

private:
    class Run;

    std::shared_ptr<Run> take(ForwardAttemptId attempt);

    EventLoop &loop;
    HttpSender &client;
    ForwardController &controller;
    std::function<void()> settled;
    std::map<ForwardAttemptId, std::shared_ptr<Run>> runs;
};

} // namespace dotterel
