#pragma once

#include "bench/engine_model.h"
#include "coordination/request.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace dotterel::bench {

/// Hears what becomes of attempts at the hosts that made them.
class BenchAttemptListener
{
public:
    virtual ~BenchAttemptListener() = default;

    virtual void onFirstToken(std::size_t host, const RequestId &request,
                              const AttemptId &attempt) = 0;
    virtual void onAnswerEnd(std::size_t host, const AttemptId &attempt) = 0;
    virtual void onAttemptFailed(std::size_t host, const AttemptId &attempt,
                                 const AttemptFailure &failure) = 0;
};

/// The engines of a run, the attempts on them, and the latency between them and the hosts.
class BenchEngines
{
public:
    BenchEngines(const Workload &workload, EventQueue &queue, BenchAttemptListener &listener);

    /// Sends an attempt of \a host to the servers of \a choice.
    void send(std::size_t host, const AttemptRequest &order, const PlacementChoice &choice);

    /// Forgets an attempt and gives back its memory at the engines.
    void drop(const AttemptId &attempt);

    /// Kills an engine: connections break, new ones fail.
    void kill(std::size_t server);

    EngineModel &engine(std::size_t server) { return *this->engines[server]; }
    std::size_t count() const { return this->engines.size(); }

    /// Returns how many engines share a prompt of \a tokens.
    std::size_t partsOf(std::uint64_t tokens) const;

private:
    struct Attempt
    {
        AttemptId id;
        RequestId request;
        std::size_t host = 0;
        std::vector<std::size_t> servers;
        std::vector<std::uint64_t> works;
        std::size_t partsLeft = 0;
        std::uint64_t answerTokens = 0;
    };

    std::vector<std::size_t> serversOf(const Request &request, const PlacementChoice &choice) const;
    void submit(std::size_t server, const EngineWork &work);
    void onPrefillDone(std::uint64_t work);
    void fail(const AttemptId &name, const AttemptFailure &failure);
    Duration latency(std::size_t host, std::size_t server) const;

    const Workload &workload;
    EventQueue &queue;
    BenchAttemptListener &listener;
    std::vector<std::unique_ptr<EngineModel>> engines;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<std::uint64_t, AttemptId> attemptOfWork;
    std::uint64_t nextWork = 1;
};

} // namespace dotterel::bench
