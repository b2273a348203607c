#include "bench/bench_host.h"

#include "bench/bench_policies.h"
#include "coordination/placement_settings.h"

namespace dotterel::bench {

namespace {

/// The model delivers each answer as one token, so that there are no gaps to watch.
RequestLimits limitsOf()
{
    RequestLimits limits;
    limits.tokenTimeout = std::chrono::minutes(10);
    return limits;
}

Configuration configurationOf(const Workload &workload)
{
    Configuration configuration;
    configuration.version = 1;
    for (const WorkspaceMix &mix : workload.workspaces)
        configuration.workspaces[mix.name] = {mix.name, mix.share};
    configuration.requestClasses["question"] = {"question", workload.questionDeadline, true};
    configuration.requestClasses["review"] = {"review", workload.reviewDeadline, true};
    configuration.requestClasses["archive"] = {"archive", workload.archiveDeadline, true};
    configuration.pools[BenchPool] = {BenchPool, PoolKind::Model};
    for (std::size_t i = 0; i < workload.servers; ++i) {
        BackendServer server;
        server.id = benchServerName(i);
        server.pool = BenchPool;
        server.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)};
        server.failureDomain = benchFailureDomain(workload, i);
        server.memoryTokens = workload.engine.memoryTokens;
        configuration.servers[server.id] = server;
    }
    configuration.policy = workload.weights;
    return configuration;
}

} // namespace

BenchHost::BenchHost(const Workload &workload, const std::string &policy, std::size_t number,
                     std::uint64_t seed, BenchHostEffects &effects)
    : number(number)
    , self{"host-" + std::to_string(number), 1, benchFailureDomain(workload, number)}
    , effects(effects)
    , random(seed)
    , directory(this->log, this->metrics)
    , inner(makePlacement(policy, workload, this->directory, this->random, this->self, number))
    , crashGuard(CrashLimits{}, this->metrics, this->log)
    , controller(limitsOf(), this->directory, *this, this->crashGuard, *this, this->metrics,
                 this->log)
{
    const Configuration configuration = configurationOf(workload);
    this->directory.applyConfiguration(configuration);
    this->controller.applyConfiguration(configuration);
    this->inner->applyConfiguration(configuration);
}

tl::expected<PlacementChoice, Failure> BenchHost::choose(const PlacementQuery &query, TimePoint now)
{
    return this->inner->choose(query, now);
}

void BenchHost::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                             const PlacementChoice &choice, TimePoint now)
{
    this->lastChoice = choice;
    this->inner->onDispatched(attempt, query, choice, now);
}

void BenchHost::onFirstToken(const AttemptId &attempt, TimePoint now)
{
    this->inner->onFirstToken(attempt, now);
}

void BenchHost::onEnded(const AttemptId &attempt, TimePoint now)
{
    this->inner->onEnded(attempt, now);
}

void BenchHost::onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now)
{
    this->inner->onLoadReport(server, report, now);
}

void BenchHost::sendAttempt(const AttemptRequest &order)
{
    this->effects.send(this->number, order, this->lastChoice);
}

void BenchHost::cancelAttempt(const AttemptId &attempt)
{
    this->effects.cancel(this->number, attempt);
}

void BenchHost::finishAnswer(const RequestId &request, std::uint64_t /*tokens*/)
{
    this->effects.finished(request);
}

void BenchHost::refuse(const RequestId &request, const Failure &failure)
{
    this->effects.refused(request, failure);
}

std::string benchServerName(std::size_t server)
{
    return (server < 10 ? "engine-0" : "engine-") + std::to_string(server);
}

std::string benchFailureDomain(const Workload &workload, std::size_t number)
{
    return "domain-" + std::to_string(number % workload.failureDomains);
}

std::string benchRequestClass(std::uint64_t tokens)
{
    if (tokens <= ShortPromptTokens)
        return "question";
    return tokens <= LongPromptTokens ? "review" : "archive";
}

} // namespace dotterel::bench
