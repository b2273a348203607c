#pragma once

#include "transport/http_server.h"

#include <list>
#include <map>
#include <string>

namespace dotterel::fakes {

/// Faults that a FakePlatform shows.
struct PlatformFaults
{
    bool down = false;             ///< Connections are closed without an answer.
    bool loseWriteAnswers = false; ///< Writes take effect and their answers are lost.
    bool stale = false;            ///< Reads answer the version before the last one.
    Duration delay = Duration::zero();
    bool objectsDown = false; ///< As down, for all but the host list.
    int wokenWatches = 1'000; ///< Watches that hear of a write; the others stay asleep.
};

/// Stand-in for the platform's object API and host list; see HttpObjectStore for the protocol.
/// `PUT /test/faults?down=1&lose=1&stale=1&delay_ms=N` sets the faults.
class FakePlatform
{
public:
    FakePlatform(EventLoop &loop, const Endpoint &endpoint);

    /// Sets the host list, a JSON array.
    void setHosts(const std::string &json) { this->hosts = json; }

    /// Sets the faults shown from now on.
    void setFaults(const PlatformFaults &newFaults) { this->faults = newFaults; }

    /// Returns how many calls there were, a waiting watch counted as one.
    std::uint64_t calls() const { return this->callCount; }

    /// Returns how many writes took effect.
    std::uint64_t writes() const { return this->writeCount; }

    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
        std::string previousValue;
        std::uint64_t previousVersion = 0;
    };
    struct Watch
    {
        std::string key;
        std::uint64_t version = 0;
        HttpExchangePtr exchange;
        EventLoop::TimerHandle timeout;
    };

    void handle(const HttpExchangePtr &exchange);
    void answer(const HttpExchangePtr &exchange);
    void handleObject(const HttpExchangePtr &exchange, const std::string &key);
    void replyObject(const HttpExchangePtr &exchange, const std::string &key);
    void write(const HttpExchangePtr &exchange, const std::string &key);
    void list(const HttpExchangePtr &exchange);
    void watch(const HttpExchangePtr &exchange);
    void wakeWatches(const std::string &key);
    void setFaultsFrom(const HttpExchangePtr &exchange);

    EventLoop &loop;
    PlatformFaults faults;
    std::map<std::string, Object> objects;
    std::uint64_t revision = 0;
    std::uint64_t writeCount = 0;
    std::uint64_t callCount = 0;
    std::string hosts = "[]";
    std::list<Watch> watches;
    std::list<EventLoop::TimerHandle> delays;
    HttpServer server;
};

} // namespace dotterel::fakes
