#pragma once

#include "transport/http_server.h"

#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dotterel::soak {

/// Fault that a SoakStore injects.
enum class StoreFault {
    None,
    RejectRequests,   ///< Responds with status 503 and does not execute the call.
    DelayCalls,       ///< Executes calls late.
    CloseConnections, ///< Closes the connection and does not execute the call.
    DropResponses,    ///< Executes the call and closes the connection without a response.
    OddResponses,     ///< Executes the call and responds with odd bytes, or a part of the response.
};

/// Stand-in for the platform's metadata store: objects by kind and name, a store-wide revision,
/// watches and a history that can be dropped. A serializable list returns the state of the previous
/// list call.
class SoakStore
{
public:
    explicit SoakStore(EventLoop &loop);

    Endpoint endpoint() const { return this->server.endpoint(); }

    /// Creates or replaces an object.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);

    /// Writes an object whose value is \a text as it stands, which need not be valid JSON.
    void putText(const std::string &kind, const std::string &name, const std::string &text);

    /// Removes an object.
    void remove(const std::string &kind, const std::string &name);

    void setFault(StoreFault newFault) { this->fault = newFault; }

    /// Closes the connections of waiting watches.
    void closeWatches();

    /// Drops the change history and closes the connections of waiting watches.
    void dropHistory();

    /// Content of the store at one moment.
    struct Copy
    {
        std::uint64_t revision = 0;
        std::uint64_t droppedUpTo = 0;
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    };

    /// Returns a copy of the store.
    Copy copy() const;

    /// Replaces the content of the store by \a earlier, begins the next era and closes all waiting
    /// watches. Acknowledged writes since \a earlier are lost.
    void restore(const Copy &earlier);

    /// Gives out \a count revisions without a change.
    void skipRevisions(std::uint64_t count) { this->revision += count; }

    /// Sets the era header of all responses; an empty text leaves it out.
    void setEraHeader(const std::string &text) { this->eraHeader = text; }

    /// Returns the number of calls received; a waiting watch counts once.
    std::size_t callCount() const { return this->calls; }

    /// Returns the number of objects of \a kind.
    std::size_t objectCount(const std::string &kind) const;

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
        std::uint64_t afterRevision;
        EventLoop::TimerHandle timeout;
    };

    void handleRequest(const HttpExchangePtr &exchange);
    void executeCall(const HttpExchangePtr &exchange);
    void list(const HttpExchangePtr &exchange, const std::string &kind);
    void watch(const HttpExchangePtr &exchange, const std::string &kind);
    /// Responds to \a watch and returns true if there are changes or \a respondsIfEmpty is set.
    bool completeWatch(const Watch &watch, bool respondsIfEmpty);
    void recordChange(const std::string &kind, const nlohmann::json &object, bool removed);
    HttpHeaders eraHeaders() const;
    /// Returns \a body with the texts of putText() in their places.
    std::string serialize(const nlohmann::json &body) const;
    void reply(const HttpExchangePtr &exchange, int status, const nlohmann::json &body);

    EventLoop &loop;
    StoreFault fault = StoreFault::None;
    std::uint64_t era = 1;
    std::string eraHeader = "1";
    std::size_t calls = 0;
    std::uint64_t revision = 100;
    std::uint64_t droppedUpTo = 100; ///< Changes up to this revision are no longer available.
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    /// Response to the previous list call, by kind.
    std::map<std::string, nlohmann::json> previousLists;
    std::vector<Change> history;
    std::list<Watch> watches;
    std::list<EventLoop::TimerHandle> delayTimers;
    HttpServer server;
    std::size_t oddResponses = 0;
    std::vector<std::string> texts; ///< Of putText(); values refer to them by number.
};

} // namespace dotterel::soak
