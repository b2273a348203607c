#include "bench/bench_run.h"

#include "bench/bench_engines.h"
#include "bench/bench_host.h"
#include "bench/workload_generator.h"
#include "core/enum_names.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <unordered_map>

namespace dotterel::bench {

namespace {

constexpr std::array<EnumName<Fault>, 4> FaultNames = {{
        {Fault::None, "none"},
        {Fault::Death, "death"},
        {Fault::Freeze, "freeze"},
        {Fault::Slowness, "slowness"},
}};

constexpr double FaultSlowness = 5;
constexpr Duration CallerPause = std::chrono::milliseconds(10);
constexpr Duration LoadReportsAfterEnd = std::chrono::seconds(60);

/// One run: the hosts, the engines and the messages between them.
class BenchRun
    : public BenchHostEffects
    , public BenchAttemptListener
{
public:
    BenchRun(const Workload &workload, const RunSettings &settings)
        : workload(workload)
        , random(settings.seed)
        , generator(workload, settings.load, settings.greed, this->random)
        , engines(workload, this->queue, *this)
    {
        this->record.settings = settings;
        for (std::size_t i = 0; i < workload.hosts; ++i)
            this->hosts.push_back(std::make_unique<BenchHost>(workload, settings.policy, i,
                                                              this->random.next(), *this));
        this->newsScheduled.resize(workload.hosts, false);
        this->timers.resize(workload.hosts);
    }

    RunRecord run()
    {
        this->end = this->workload.warmUp + this->workload.measured;
        this->scheduleArrival();
        for (std::size_t i = 0; i < this->engines.count(); ++i) {
            const Duration offset = this->workload.reportInterval * static_cast<int>(i)
                                    / static_cast<int>(this->engines.count());
            this->queue.after(offset, [this, i] { this->reportLoad(i); });
        }
        if (this->record.settings.fault != Fault::None)
            this->scheduleFault();
        this->queue.run();
        this->summarise();
        return std::move(this->record);
    }

private:
    struct Tracked
    {
        RequestRecord record;
        Request request;
        std::size_t host = 0;
        bool measured = false;
    };

    // BenchHostEffects
    void send(std::size_t host, const AttemptRequest &order, const PlacementChoice &choice) override
    {
        this->tracked.at(order.request->id).record.admitted = true;
        this->engines.send(host, order, choice);
        this->afterEvent(host);
    }

    void cancel(std::size_t /*host*/, const AttemptId &attempt) override
    {
        this->engines.drop(attempt);
    }

    void finished(const RequestId &request) override
    {
        this->tracked.at(request).record.finished = true;
    }

    void refused(const RequestId &request, const Failure &failure) override
    {
        Tracked &entry = this->tracked.at(request);
        entry.record.refusal = failure.reason;
        const Duration deadline = this->deadlineOf(entry.record.promptTokens);
        const bool again = this->record.settings.retryStorm && !entry.record.admitted
                           && this->queue.now() + CallerPause < entry.record.arrival + deadline;
        if (again)
            this->queue.after(CallerPause, [this, request] {
                Tracked &retried = this->tracked.at(request);
                this->submit(retried);
            });
    }

    void scheduleArrival()
    {
        const Arrival arrival = this->generator.next();
        if (arrival.at >= this->end)
            return;
        const Duration wait = arrival.at - (this->queue.now() - TimePoint{});
        this->queue.after(wait, [this, arrival] {
            this->arrive(arrival);
            this->scheduleArrival();
        });
    }

    void arrive(const Arrival &arrival)
    {
        Tracked entry;
        entry.host = arrival.host;
        entry.measured = arrival.at >= this->workload.warmUp;
        entry.record.arrival = this->queue.now();
        entry.record.workspace = arrival.workspace;
        entry.record.promptTokens = arrival.promptTokens;
        entry.record.idleSeconds = this->idleSeconds(arrival.promptTokens);
        entry.request.id = "request-" + std::to_string(this->tracked.size());
        entry.request.workspace = this->workload.workspaces[arrival.workspace].name;
        entry.request.requestClass = benchRequestClass(arrival.promptTokens);
        entry.request.pool = BenchPool;
        // Bodies differ, since equal ones would be one suspect when a server dies.
        entry.request.body = std::make_shared<const std::string>(entry.request.id);
        entry.request.promptTokens = arrival.promptTokens;
        entry.request.maxTokens = arrival.answerTokens;
        entry.request.prefixHashes = arrival.prefixHashes;
        this->offeredTokens += arrival.promptTokens;
        const RequestId id = entry.request.id;
        this->submit(this->tracked.emplace(id, std::move(entry)).first->second);
    }

    void submit(Tracked &entry)
    {
        const std::size_t host = entry.host;
        entry.record.refusal.reset();
        this->hosts[host]->requests().submit(entry.request, this->queue.now());
        this->afterEvent(host);
    }

    double idleSeconds(std::uint64_t tokens) const
    {
        return this->workload.engine.prefill.seconds(static_cast<double>(tokens))
               / static_cast<double>(this->engines.partsOf(tokens));
    }

    Duration deadlineOf(std::uint64_t tokens) const
    {
        const std::string requestClass = benchRequestClass(tokens);
        if (requestClass == "question")
            return this->workload.questionDeadline;
        return requestClass == "review" ? this->workload.reviewDeadline
                                        : this->workload.archiveDeadline;
    }

    // BenchAttemptListener
    void onFirstToken(std::size_t host, const RequestId &request, const AttemptId &attempt) override
    {
        RequestRecord &entry = this->tracked.at(request).record;
        if (!entry.firstTokenSeconds)
            entry.firstTokenSeconds = toSeconds(this->queue.now() - entry.arrival);
        this->hosts[host]->requests().onToken(attempt, {attempt, 0, "x"}, this->queue.now());
        this->afterEvent(host);
    }

    void onAnswerEnd(std::size_t host, const AttemptId &attempt) override
    {
        this->hosts[host]->requests().onAnswerEnd(attempt, {attempt, 1}, this->queue.now());
        this->afterEvent(host);
    }

    void onAttemptFailed(std::size_t host, const AttemptId &attempt,
                         const AttemptFailure &failure) override
    {
        this->hosts[host]->requests().onAttemptFailed(attempt, failure, this->queue.now());
        this->afterEvent(host);
    }

    /// Sees to what the decisions of \a host want to be called for.
    void afterEvent(std::size_t host)
    {
        this->armTimer(host);
        if (this->newsScheduled[host])
            return;
        this->newsScheduled[host] = true;
        this->queue.after(this->workload.newsInterval, [this, host] { this->sendNews(host); });
    }

    void armTimer(std::size_t host)
    {
        const std::optional<TimePoint> next = this->hosts[host]->requests().nextTimer();
        std::optional<TimePoint> &armed = this->timers[host];
        if (!next || (armed && *armed <= *next))
            return;
        armed = next;
        const Duration delay = std::max(Duration::zero(), *next - this->queue.now());
        this->queue.after(delay, [this, host, at = *next] {
            if (this->timers[host] != at)
                return;
            this->timers[host].reset();
            this->hosts[host]->requests().onTimer(this->queue.now());
            this->afterEvent(host);
        });
    }

    void sendNews(std::size_t host)
    {
        this->newsScheduled[host] = false;
        const DispatchUpdate update = this->hosts[host]->placement().takeDispatchNews();
        if (update.events.empty())
            return;
        std::size_t peers = this->hosts.size() - 1;
        if (this->workload.newsPeers > 0)
            peers = std::min<std::size_t>(peers, this->workload.newsPeers);
        this->newsBytes += encodePeerMessage(update).size() * peers;
        this->newsMessages += peers;
        this->queue.after(this->workload.oneWayLatency, [this, host, peers, update] {
            for (std::size_t i = 1; i <= peers; ++i) {
                const std::size_t peer = (host + i) % this->hosts.size();
                this->hosts[peer]->placement().onDispatchNews(update, this->queue.now());
            }
        });
    }

    void reportLoad(std::size_t server)
    {
        if (this->engines.engine(server).state() != EngineState::Dead) {
            const LoadReport report = this->engines.engine(server).report();
            this->queue.after(this->workload.oneWayLatency, [this, server, report] {
                for (const std::unique_ptr<BenchHost> &host : this->hosts)
                    host->placement().onLoadReport(benchServerName(server), report,
                                                   this->queue.now());
            });
        }
        if (this->queue.now() - TimePoint{} < this->end + LoadReportsAfterEnd)
            this->queue.after(this->workload.reportInterval,
                              [this, server] { this->reportLoad(server); });
    }

    void scheduleFault()
    {
        const Duration at = this->workload.warmUp + this->workload.measured / 2;
        this->record.faultAt = TimePoint{} + at;
        this->queue.after(at, [this] {
            EngineModel &engine = this->engines.engine(0);
            switch (this->record.settings.fault) {
            case Fault::Death:
                this->engines.kill(0);
                return;
            case Fault::Freeze:
                engine.setState(EngineState::Frozen);
                return;
            default:
                engine.setSlowness(FaultSlowness);
                return;
            }
        });
    }

    void summarise()
    {
        std::uint64_t processed = 0;
        for (std::size_t i = 0; i < this->engines.count(); ++i) {
            const EngineModel &engine = this->engines.engine(i);
            processed += engine.processedTokens();
            this->record.memoryPeakTokens =
                    std::max(this->record.memoryPeakTokens, engine.memoryPeak());
        }
        this->record.workRatio =
                static_cast<double>(processed) / static_cast<double>(this->offeredTokens);
        this->record.measuredSeconds = toSeconds(this->workload.measured);
        const double hostSeconds = static_cast<double>(this->hosts.size()) * toSeconds(this->end);
        this->record.newsBytesPerHost = static_cast<double>(this->newsBytes) / hostSeconds;
        this->record.newsMessagesPerHost = static_cast<double>(this->newsMessages) / hostSeconds;
        for (std::size_t i = 0; i < this->tracked.size(); ++i) {
            const Tracked &entry = this->tracked.at("request-" + std::to_string(i));
            if (entry.measured)
                this->record.requests.push_back(entry.record);
        }
    }

    const Workload &workload;
    EventQueue queue;
    SeededRandom random;
    WorkloadGenerator generator;
    RunRecord record;
    Duration end = Duration::zero();
    BenchEngines engines;
    std::vector<std::unique_ptr<BenchHost>> hosts;
    std::vector<bool> newsScheduled;
    std::vector<std::optional<TimePoint>> timers; ///< Armed for the requests of each host.
    std::unordered_map<RequestId, Tracked> tracked;
    std::uint64_t offeredTokens = 0;
    std::uint64_t newsBytes = 0;
    std::uint64_t newsMessages = 0;
};

} // namespace

std::string_view faultName(Fault fault)
{
    return enumName(FaultNames, fault);
}

std::optional<Fault> faultFromName(std::string_view name)
{
    return enumValue(FaultNames, name);
}

RunRecord runBench(const Workload &workload, const RunSettings &settings)
{
    return BenchRun(workload, settings).run();
}

} // namespace dotterel::bench
