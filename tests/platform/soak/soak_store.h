#pragma once

#include "transport/http_server.h"

#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dotterel::soak {

/// How a SoakStore answers.
enum class StoreFault {
    None,
    Refusing,     ///< 503, nothing is done.
    Slow,         ///< Answers come late.
    LosesAnswers, ///< Calls are carried out and the connection is closed.
};

/// Stand-in for the platform's metadata store: objects by kind and name, one revision, watches and
/// a history that may be forgotten. Serializable lists may be one change old.
class SoakStore
{
public:
    explicit SoakStore(EventLoop &loop);

    Endpoint endpoint() const { return this->server.endpoint(); }

    /// Creates or replaces an object, as operators and servers do.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);

    /// Removes an object.
    void remove(const std::string &kind, const std::string &name);

    void setFault(StoreFault newFault) { this->fault = newFault; }

    /// Forgets all changes so far; waiting watches are cut off.
    void forgetHistory();

    /// Number of objects of \a kind.
    std::size_t count(const std::string &kind) const;

private:
    struct Change
    {
        std::string kind;
        std::uint64_t revision;
        nlohmann::json event;
    };
    struct Watch
    {
        HttpExchangePtr exchange;
        std::string kind;
        std::uint64_t since;
        EventLoop::TimerHandle timeout;
    };

    void handle(const HttpExchangePtr &exchange);
    void carryOut(const HttpExchangePtr &exchange);
    void list(const HttpExchangePtr &exchange, const std::string &kind);
    void watch(const HttpExchangePtr &exchange, const std::string &kind);
    bool answerWatch(const Watch &watch, bool evenIfEmpty);
    void noteChange(const std::string &kind, const nlohmann::json &object, bool removed);
    void reply(const HttpExchangePtr &exchange, int status, const nlohmann::json &body);

    EventLoop &loop;
    StoreFault fault = StoreFault::None;
    std::uint64_t revision = 100;
    std::uint64_t forgotten = 100; ///< Changes up to this revision are not told any more.
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::map<std::string, nlohmann::json> lastList; ///< By kind, for stale answers.
    std::vector<Change> history;
    std::list<Watch> watches;
    std::list<EventLoop::TimerHandle> delays;
    HttpServer server;
};

} // namespace dotterel::soak
