#pragma once

#include "core/random_source.h"
#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_checker.h"
#include "transport/http_server.h"

#include <list>
#include <nlohmann/json.hpp>
#include <string>

namespace dotterel::soak {

/// Fault that a SoakServer injects.
enum class ServerFault {
    None,
    Refusing,     ///< Responds that it has not run the request.
    LosesAnswers, ///< Runs the request and closes the connection without a response.
    Mute,         ///< Runs the request and never responds.
    Cuts,         ///< Closes the connection in the middle of the response.
};

/// Stand-in for a backend server of the platform, behind a proxy that injects link faults.
class SoakServer
{
public:
    SoakServer(EventLoop &loop, const std::string &id, const std::string &pool,
               SoakChecker &checker, RandomSource &random);

    /// Returns the registration entry of this server.
    nlohmann::json entry(bool draining) const;

    void setFault(ServerFault newFault) { this->fault = newFault; }
    LoopbackProxy &links() { return this->proxy; }
    const std::string &name() const { return this->id; }
    const std::string &service() const { return this->pool; }

private:
    void handle(const HttpExchangePointer &exchange);
    void run(const HttpExchangePointer &exchange, const std::string &requestId);
    void sendEvents(const HttpExchangePointer &exchange, const std::string &requestId,
                    int nextEvent);
    void later(Duration delay, std::function<void()> action);

    EventLoop &loop;
    std::string id;
    std::string pool;
    SoakChecker &checker;
    RandomSource &random;
    ServerFault fault = ServerFault::None;
    std::list<EventLoop::TimerHandle> delayTimers;
    std::list<HttpExchangePointer> unanswered;
    HttpServer server;
    LoopbackProxy proxy;
};

} // namespace dotterel::soak
