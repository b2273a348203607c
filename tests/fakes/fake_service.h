#pragma once

#include "transport/http_server.h"

#include <list>
#include <map>
#include <string>

namespace dotterel::fakes {

/// How a FakeService behaves.
struct ServiceBehaviour
{
    Duration delay = std::chrono::milliseconds(5);
    bool dieAfterRunning = false; ///< Runs the request and closes without an answer.
    bool draining = false;
};

/// Stand-in for a plain service that counts what ran by Idempotency-Key.
/// `GET /test/counts` answers a JSON map from key to count.
class FakeService
{
public:
    FakeService(EventLoop &loop, const Endpoint &endpoint, const ServiceBehaviour &behaviour);

    void setBehaviour(const ServiceBehaviour &newBehaviour) { this->behaviour = newBehaviour; }

    /// Returns how often the request with \a key ran.
    std::uint64_t count(const std::string &key) const;

    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    void handle(const HttpExchangePtr &exchange);

    EventLoop &loop;
    ServiceBehaviour behaviour;
    std::map<std::string, std::uint64_t> counts;
    std::list<EventLoop::TimerHandle> delays;
    HttpServer server;
};

} // namespace dotterel::fakes
