#pragma once

#include "core/random_source.h"
#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_record.h"
#include "transport/http_server.h"

#include <list>
#include <nlohmann/json.hpp>
#include <string>

namespace dotterel::soak {

/// How a SoakServer treats requests.
enum class ServerFault {
    None,
    Refusing,     ///< Answers that it has not run the request.
    LosesAnswers, ///< Runs the request and closes the connection.
    Mute,         ///< Runs the request and never answers.
    Cuts,         ///< Closes the connection in the middle of its answer.
};

/// Stand-in for a backend server of the platform, behind a proxy that harms its links.
class SoakServer
{
public:
    SoakServer(EventLoop &loop, const std::string &id, const std::string &pool, SoakRecord &record,
               RandomSource &random);

    /// What it says of itself in the list of servers.
    nlohmann::json entry(bool draining) const;

    void setFault(ServerFault newFault) { this->fault = newFault; }
    LoopbackProxy &links() { return this->proxy; }
    const std::string &name() const { return this->id; }
    const std::string &service() const { return this->pool; }

private:
    void handle(const HttpExchangePtr &exchange);
    void run(const HttpExchangePtr &exchange, const std::string &request);
    void sendEvents(const HttpExchangePtr &exchange, const std::string &request, int next);
    void later(Duration delay, std::function<void()> action);

    EventLoop &loop;
    std::string id;
    std::string pool;
    SoakRecord &record;
    RandomSource &random;
    ServerFault fault = ServerFault::None;
    std::list<EventLoop::TimerHandle> delays;
    std::list<HttpExchangePtr> unanswered;
    HttpServer server;
    LoopbackProxy proxy;
};

} // namespace dotterel::soak
