#pragma once

#include "protocol/engine_stream.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <list>
#include <map>
#include <string>

namespace dotterel::fakes {

/// How fast a FakeEngine works and what goes wrong.
struct EngineBehaviour
{
    double prefillTokensPerSecond = 400'000;
    Duration tokenInterval = std::chrono::milliseconds(2);
    std::uint64_t answerTokens = 8;
    std::size_t tokenPadding = 0;         ///< Bytes added to the text of each token.
    std::uint64_t cutAfterTokens = 0;     ///< Breaks each stream there; 0 never does.
    bool draining = false;                ///< Refuses new work, promising that it did not run.
    bool frozen = false;                  ///< Accepts connections and answers nothing.
    std::uint64_t memoryTokens = 400'000; ///< KV memory; a longer prompt alone is refused.
    std::string crashMarker;              ///< A body that contains it stops the engine.
};

/// Stand-in for a model engine: prefill in order of priority, then one token an interval.
class FakeEngine
{
public:
    FakeEngine(EventLoop &loop, const Endpoint &endpoint, const EngineBehaviour &behaviour);

    void setBehaviour(const EngineBehaviour &newBehaviour) { this->behaviour = newBehaviour; }

    /// Returns how many attempts began to run.
    std::uint64_t started() const { return this->startedCount; }

    /// Returns whether a body with the crash marker stopped the engine.
    bool hasCrashed() const { return this->crashed; }

    /// Returns how many attempts are queued or running.
    std::size_t running() const { return this->attempts.size(); }

    /// Returns the tokens of KV memory that are held, by reservations and by attempts. An attempt's
    /// stay held when its connection breaks, until it is cancelled, resumed or released.
    std::uint64_t memoryHeld() const;

    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    struct Allocation
    {
        std::string host;
        std::string incarnation;
        std::string request;
        std::uint64_t tokens = 0;
        std::uint64_t timeToLiveMilliseconds = 0;
        TimePoint since;
        std::uint64_t contextTokens = 0; ///< Leading tokens of the prompt that are processed.
    };
    struct Attempt
    {
        HttpExchangePtr exchange;
        std::int64_t priority = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t nextIndex = 0;
        EventLoop::TimerHandle timer;
    };

    void handle(const HttpExchangePtr &exchange);
    void complete(const HttpExchangePtr &exchange);
    void cancel(const std::string &attempt);
    void handleMemory(const HttpExchangePtr &exchange, const std::string &rest);
    void reserve(const HttpExchangePtr &exchange, const std::string &id);
    void prefillPart(const HttpExchangePtr &exchange, const std::string &id);
    void finishPart(const HttpExchangePtr &exchange, const std::string &id,
                    std::uint64_t importedTokens);
    bool admitMemory(const HttpExchangePtr &exchange, const std::string &allocation,
                     std::uint64_t promptTokens);
    std::string listAllocations() const;
    void startNextPrefill();
    void sendToken(const std::string &attempt);
    std::uint64_t queuedTokens() const;

    EventLoop &loop;
    HttpClient client; ///< Fetches KV cache that other engines export.
    std::list<std::unique_ptr<HttpFetch>> imports;
    std::list<EventLoop::TimerHandle> partTimers;
    EngineBehaviour behaviour;
    std::map<std::string, Attempt> attempts;
    std::map<std::string, Allocation> allocations; ///< By unique id; of an attempt, the attempt's.
    std::list<HttpExchangePtr> unanswered;         ///< While frozen.
    std::list<std::string> queue;                  ///< Attempts that wait for prefill.
    EventLoop::TimerHandle prefill;
    std::string prefilling;
    std::uint64_t startedCount = 0;
    bool crashed = false;
    HttpServer server;
};

} // namespace dotterel::fakes
