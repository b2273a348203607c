#include "bench/bench_engines.h"

#include "bench/bench_host.h"

#include <algorithm>

namespace dotterel::bench {

namespace {

constexpr std::uint64_t BlockTokens = 1'024;
constexpr int LatencyInsideDomain = 5; ///< Divides the latency between failure domains.
constexpr Duration RetryAfterBreak = std::chrono::seconds(1);

std::size_t serverNumber(const ServerId &server)
{
    return static_cast<std::size_t>(std::stoul(server.substr(server.find('-') + 1)));
}

} // namespace

BenchEngines::BenchEngines(const Workload &workload, EventQueue &queue,
                           BenchAttemptListener &listener)
    : workload(workload)
    , queue(queue)
    , listener(listener)
{
    for (std::size_t i = 0; i < workload.servers; ++i)
        this->engines.push_back(std::make_unique<EngineModel>(
                queue, workload.engine, BlockTokens,
                [this](std::uint64_t work) { this->onPrefillDone(work); }));
}

void BenchEngines::send(std::size_t host, const AttemptRequest &order,
                        const PlacementChoice &choice)
{
    const Request &request = *order.request;
    Attempt attempt;
    attempt.id = order.attempt;
    attempt.request = request.id;
    attempt.host = host;
    attempt.answerTokens = request.maxTokens;
    attempt.servers = this->serversOf(request, choice);
    attempt.partsLeft = attempt.servers.size();
    EngineWork work;
    work.priority = order.priority;
    work.tokens = std::max<std::uint64_t>(1, request.promptTokens / attempt.partsLeft);
    // Each part sees on average the same context, so that the parts take equally long.
    work.context = (request.promptTokens - work.tokens) / 2;
    work.answerTokens = request.maxTokens;
    if (attempt.partsLeft == 1)
        work.prefixHashes = request.prefixHashes;
    for (const std::size_t server : attempt.servers) {
        work.id = this->nextWork++;
        attempt.works.push_back(work.id);
        this->attemptOfWork[work.id] = attempt.id;
        this->queue.after(this->latency(host, server),
                          [this, server, work] { this->submit(server, work); });
    }
    this->attempts.emplace(attempt.id, std::move(attempt));
}

void BenchEngines::drop(const AttemptId &name)
{
    const auto found = this->attempts.find(name);
    if (found == this->attempts.end())
        return;
    const Attempt &attempt = found->second;
    for (std::size_t i = 0; i < attempt.works.size(); ++i) {
        this->attemptOfWork.erase(attempt.works[i]);
        EngineModel &engine = *this->engines[attempt.servers[i]];
        this->queue.after(this->latency(attempt.host, attempt.servers[i]),
                          [&engine, work = attempt.works[i]] { engine.release(work); });
    }
    this->attempts.erase(found);
}

void BenchEngines::kill(std::size_t server)
{
    this->engines[server]->setState(EngineState::Dead);
    std::vector<AttemptId> broken;
    for (const auto &[id, attempt] : this->attempts) {
        const std::vector<std::size_t> &servers = attempt.servers;
        if (std::find(servers.begin(), servers.end(), server) != servers.end())
            broken.push_back(id);
    }
    // The table has no order of its own, and runs must be repeatable.
    std::sort(broken.begin(), broken.end());
    for (const AttemptId &id : broken)
        this->fail(id, {{Verdict::MayHaveRun, Reason::BackendFailed, "the connection broke",
                         RetryAfterBreak},
                        ServerFault::Unreachable});
}

std::size_t BenchEngines::partsOf(std::uint64_t tokens) const
{
    const EngineSettings &engine = this->workload.engine;
    const std::size_t parts = requiredEngineCount(tokens, engine.memoryTokens,
                                                  engine.longMemoryShare, engine.partMemoryShare);
    return std::min(parts, this->engines.size());
}

/// Returns the servers that share a prompt. A baseline names one only; its neighbours then take
/// the other parts.
std::vector<std::size_t> BenchEngines::serversOf(const Request &request,
                                                 const PlacementChoice &choice) const
{
    const std::size_t parts = this->partsOf(request.promptTokens);
    std::vector<std::size_t> servers{serverNumber(choice.server)};
    for (const ServerId &other : choice.additionalServers)
        servers.push_back(serverNumber(other));
    while (servers.size() < parts)
        servers.push_back((servers.back() + 1) % this->engines.size());
    return servers;
}

void BenchEngines::submit(std::size_t server, const EngineWork &work)
{
    const auto attempt = this->attemptOfWork.find(work.id);
    if (attempt == this->attemptOfWork.end())
        return;
    if (this->engines[server]->state() != EngineState::Dead)
        this->engines[server]->submit(work);
    else
        this->fail(AttemptId(attempt->second), {{Verdict::NotRun, Reason::BackendConnectFailed,
                                                 "no connection", RetryAfterBreak},
                                                ServerFault::Unreachable});
}

void BenchEngines::onPrefillDone(std::uint64_t work)
{
    const auto id = this->attemptOfWork.find(work);
    if (id == this->attemptOfWork.end())
        return;
    Attempt &attempt = this->attempts.at(id->second);
    if (--attempt.partsLeft > 0)
        return;
    const Duration back = this->latency(attempt.host, attempt.servers.front());
    const Duration decode =
            this->workload.engine.tokenInterval * static_cast<int>(attempt.answerTokens);
    const AttemptId name = attempt.id;
    this->queue.after(back, [this, name] {
        const auto found = this->attempts.find(name);
        if (found == this->attempts.end())
            return;
        const RequestId request = found->second.request;
        this->listener.onFirstToken(found->second.host, request, name);
    });
    this->queue.after(back + decode, [this, name] {
        const auto found = this->attempts.find(name);
        if (found == this->attempts.end())
            return;
        const std::size_t host = found->second.host;
        this->drop(name);
        this->listener.onAnswerEnd(host, name);
    });
}

void BenchEngines::fail(const AttemptId &name, const AttemptFailure &failure)
{
    const auto found = this->attempts.find(name);
    if (found == this->attempts.end())
        return;
    const std::size_t host = found->second.host;
    // The name may belong to the entry that drop() erases.
    this->queue.after(this->workload.oneWayLatency, [this, host, name = AttemptId(name), failure] {
        this->listener.onAttemptFailed(host, name, failure);
    });
    this->drop(name);
}

Duration BenchEngines::latency(std::size_t host, std::size_t server) const
{
    const bool same =
            benchFailureDomain(this->workload, host) == benchFailureDomain(this->workload, server);
    return same ? this->workload.oneWayLatency / LatencyInsideDomain : this->workload.oneWayLatency;
}

} // namespace dotterel::bench
