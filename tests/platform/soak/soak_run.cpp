#include "platform/soak/soak_run.h"

#include <algorithm>
#include <fstream>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *PoolNames[] = {"orders", "prompts"};
constexpr const char *ApiKey = "k-cakes";
/// Mean time between two requests.
constexpr std::uint64_t MeanRequestIntervalMs = 12;
/// Time for which a draining server keeps its entry and serves.
constexpr Duration DrainTime = milliseconds(2'000);
/// Versions in advance of which a configuration has routes that they remove.
constexpr std::uint64_t RemovalsAhead = 3;
constexpr Duration RequestTimeout = seconds(3);
/// The final response must arrive at most this long after the deadline.
constexpr Duration FinalResponseMargin = milliseconds(1'500);
/// A request that is sent no later than this after the signal and is at work in the last sixth of
/// the grace period may end with it.
constexpr Duration LastRequestAfterShutdown = seconds(3);
/// Shares of the kinds of runs; the others play faults of all kinds.
constexpr double DrillRunShare = 0.4;
constexpr double BrokenResponseRunShare = 0.3;
/// Share of the runs that end with a loss of power.
constexpr double PowerLossShare = 0.5;
constexpr Duration StartTimeout = seconds(20);
/// Memory of the users' machines.
constexpr std::size_t MemoryLimitMb = 260;

/// Apart from the seeds that are used by hand.
constexpr std::uint64_t DomainSeedOffset = 1ULL << 40;
constexpr std::uint64_t OddSeedOffset = 1ULL << 41;
/// Time for which servers that come during the run warm up.
constexpr double WarmUpSeconds = 1.5;

std::string requestPath(RequestKind kind, std::uint64_t version)
{
    switch (kind) {
    case RequestKind::Order:
        return "/order/1";
    case RequestKind::Lookup:
    case RequestKind::DeadlyLookup:
        return "/lookup/1";
    case RequestKind::ResumableStream:
    case RequestKind::DeadlyStream:
        return "/stream/1";
    case RequestKind::NonResumableStream:
        return "/story/1";
    case RequestKind::RemovedRouteProbe:
        return "/until" + std::to_string(version) + "/1";
    case RequestKind::ConfigurationProbe:
        break;
    }
    return "/since" + std::to_string(version) + "/1";
}

Json routeJson(const std::string &prefix, const std::string &kind, const std::string &pool,
               Duration timeout)
{
    return {{"name", "r" + prefix},
            {"host", "soak.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", timeout.count() / 1'000},
            {"goal_ms", 300},
            {"gap_target_ms", 250},
            {"priority", 1},
            {"max_attempts", 2},
            {"no_auth", false},
            {"sticky", kind == "stream"},
            {"resumable", prefix == "/stream/"},
            {"service", pool}};
}

SoakRunKind drawRunKind(RandomSource &random)
{
    const double draw = random.nextDouble();
    if (draw < DrillRunShare)
        return SoakRunKind::Drills;
    return draw < DrillRunShare + BrokenResponseRunShare ? SoakRunKind::BrokenResponses
                                                         : SoakRunKind::AllFaults;
}

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : options(options)
    , random(options.seed)
    , limitRandom(~options.seed)
    , domainRandom(options.seed + DomainSeedOffset)
    , oddRandom(options.seed + OddSeedOffset)
    , store(this->loop)
    , client(this->loop, KeepAliveHttpClientLimits{})
    , kind(options.oddValues    ? SoakRunKind::OddValues
           : options.deadlyLoad ? SoakRunKind::DeadlyLoad
                                : drawRunKind(this->random))
{
    for (const char *pool : PoolNames) {
        for (std::size_t index = 0; index < options.serversPerPool; ++index)
            this->addServer(pool);
    }
    this->publishConfiguration();
    this->hosts.resize(options.hostCount);
    for (std::size_t index = 0; index < options.hostCount; ++index) {
        Host &host = this->hosts[index];
        host.name = "host-" + std::to_string(index);
        host.settingsPath = options.directory + "/" + host.name + ".yaml";
        host.storeProxy = std::make_unique<LoopbackProxy>(this->loop, this->store.endpoint());
        std::ofstream settings(host.settingsPath);
        settings << "host: " << host.name << "\nfailure-domain: z-" << index % 2
                 << "\ncallers: 127.0.0.1:0\nreadiness: 127.0.0.1:0\noperators: 127.0.0.1:0\n"
                    "peers: 127.0.0.1:0\ndomain-service-limit-ms: 5000\nplatform: "
                 << host.storeProxy->endpoint().text()
                 << "\nplatform-timeout-ms: 1500\nheartbeat-interval-ms: 250\n";
    }
}

SoakRun::~SoakRun() = default;

bool SoakRun::startHosts()
{
    for (Host &host : this->hosts)
        this->startHost(host);
    const TimePoint startDeadline = this->loop.now() + StartTimeout;
    const auto hasStarted = [](const Host &host) { return host.callerEndpoint.has_value(); };
    while (!std::all_of(this->hosts.begin(), this->hosts.end(), hasStarted)) {
        this->runLoopFor(milliseconds(50));
        this->superviseHosts();
        if (this->loop.now() > startDeadline) {
            this->checker.addViolation("start: a host did not start within 20 s");
            return false;
        }
    }
    this->runLoopFor(seconds(1));
    return true;
}

void SoakRun::execute()
{
    if (!this->startHosts())
        return;
    this->takeCopies();
    this->scheduleNextRequest();
    this->scheduleNextFault();
    this->scheduleLimits();
    this->scheduleDomains();
    this->scheduleOddEntries();
    if (this->kind == SoakRunKind::DeadlyLoad)
        this->startDeadlyLoad();
    if (this->kind == SoakRunKind::OddValues)
        this->startOddValues();
    const TimePoint end = this->loop.now() + this->options.faultDuration;
    while (this->loop.now() < end) {
        this->runLoopFor(milliseconds(50));
        this->superviseHosts();
        this->checkMemory();
    }
    this->endAllFaults();
    if (this->random.nextDouble() < PowerLossShare)
        this->losePower();
    this->checkRecovery();
}

void SoakRun::checkMemory()
{
    for (const Host &host : this->hosts) {
        const std::size_t peakMb = host.process->peakMemoryMb();
        this->highestMemoryMb = std::max(this->highestMemoryMb, peakMb);
        if (peakMb > MemoryLimitMb && this->hostsOverMemory.insert(host.logPath).second)
            this->checker.addViolation("memory: " + host.name + " took " + std::to_string(peakMb)
                                       + " MB");
    }
}

void SoakRun::runLoopFor(Duration duration)
{
    const EventLoop::TimerHandle timer = this->loop.after(duration, [this] { this->loop.stop(); });
    this->loop.run();
}

void SoakRun::runAfter(Duration delay, std::function<void()> action)
{
    const auto position = this->timers.emplace(this->timers.end());
    *position = this->loop.after(delay, [this, position, action = std::move(action)] {
        action();
        this->timers.erase(position);
    });
}

// Servers and configuration

void SoakRun::addServer(const std::string &pool)
{
    const std::uint64_t number = this->nextServerNumber++;
    const std::string id = "s-" + std::to_string(number);
    const std::string domain = "z-" + std::to_string(number % 2);
    this->bounds.setFailureDomain(id, domain);
    this->servers.push_back(std::make_unique<SoakServer>(
            this->loop, id, pool, domain, this->checker, this->bounds, this->crashes, this->random,
            [this](SoakServer &server) { this->onServerCrashed(server); }));
    this->activeServers.push_back(this->servers.back().get());
    this->servers.back()->setLongAnswers(this->kind == SoakRunKind::OddValues
                                         && !this->faultsEnded);
    if (!this->hosts.empty())
        this->servers.back()->warmUp(fromSeconds(WarmUpSeconds));
    this->registeredServers.insert(id);
    this->writeServerEntry(*this->servers.back());
}

void SoakRun::unregisterServer(const std::string &id)
{
    this->registeredServers.erase(id);
    this->store.remove("servers", id);
    this->bounds.onWithdrawn(id, this->loop.now());
}

void SoakRun::drainServer()
{
    if (this->storeAway)
        return;
    if (this->activeServers.empty())
        return;
    const std::size_t index = this->random.nextBelow(this->activeServers.size());
    SoakServer *drainingServer = this->activeServers[index];
    this->activeServers.erase(this->activeServers.begin() + static_cast<std::ptrdiff_t>(index));
    this->addServer(drainingServer->poolName());
    this->drainingServers.insert(drainingServer->serverId());
    this->writeServerEntry(*drainingServer);
    this->runAfter(DrainTime,
                   [this, drainingServer] { this->unregisterServer(drainingServer->serverId()); });
}

void SoakRun::publishConfiguration()
{
    if (this->storeAway)
        return;
    const std::uint64_t version = ++this->newestVersion;
    Json routes = {routeJson("/order/", "non_idempotent", "orders", RequestTimeout),
                   routeJson("/lookup/", "idempotent", "orders", RequestTimeout),
                   routeJson("/stream/", "stream", "prompts", StreamTimeout),
                   routeJson("/story/", "stream", "prompts", StreamTimeout)};
    for (std::uint64_t sinceVersion = 1; sinceVersion <= version; ++sinceVersion)
        routes.push_back(routeJson("/since" + std::to_string(sinceVersion) + "/", "idempotent",
                                   "orders", RequestTimeout));
    for (std::uint64_t removal = version + 1; removal <= version + RemovalsAhead; ++removal)
        routes.push_back(routeJson("/until" + std::to_string(removal) + "/", "idempotent", "orders",
                                   RequestTimeout));
    const Json engine = {{"slots", 8},        {"kv_tokens", 400'000}, {"stride", 34},
                         {"step_ms", 1.3},    {"per_seq_ms", 0.001},  {"context_per_k", 0.002},
                         {"read_per_s", 1e5}, {"pairs_per_m", 0.16},  {"chunk", 2'048},
                         {"hop_ms", 0.1}};
    const Json limits = {{"max_header_bytes", 16'384},
                         {"max_body_bytes", 1'048'576},
                         {"header_timeout_ms", 3'000},
                         {"idle_timeout_ms", 10'000}};
    this->newestConfiguration = {{"version", version},
                                 {"routes", routes},
                                 {"services",
                                  {{{"name", "orders"},
                                    {"max_conns", 100},
                                    {"cold_s", WarmUpSeconds},
                                    {"cold_per_s", SoakBounds::WarmUpRate}},
                                   {{"name", "prompts"},
                                    {"max_conns", 100},
                                    {"cold_s", WarmUpSeconds},
                                    {"cold_per_s", SoakBounds::WarmUpRate},
                                    {"engine", engine}}}},
                                 {"limits", limits},
                                 {"tenants", {{{"name", "cakes"}, {"api_keys", {ApiKey}}}}}};
    this->store.put("config", "main", this->newestConfiguration);
    this->bounds.onPublished(version, this->loop.now());
}

// Requests

void SoakRun::scheduleNextRequest()
{
    this->runAfter(milliseconds(1 + this->random.nextBelow(2 * MeanRequestIntervalMs)), [this] {
        if (this->faultsEnded)
            return;
        this->sendRequest(this->random.nextBelow(this->hosts.size()),
                          static_cast<RequestKind>(this->random.nextBelow(6)));
        this->scheduleNextRequest();
    });
}

std::uint64_t SoakRun::sendRequest(std::size_t host, RequestKind kind, const DeadlyLoad *load)
{
    Host &targetHost = this->hosts[host];
    if (!targetHost.callerEndpoint)
        return 0;
    const std::uint64_t number = this->nextRequestNumber++;
    const std::string id = "q" + std::to_string(number);
    const bool isStream = kind == RequestKind::ResumableStream
                          || kind == RequestKind::NonResumableStream
                          || kind == RequestKind::DeadlyStream;
    SoakRequest sentRequest;
    sentRequest.kind = kind;
    sentRequest.host = host;
    sentRequest.incarnation = targetHost.incarnation;
    sentRequest.sentAt = this->loop.now();
    sentRequest.hostInterrupted = targetHost.isSuspended;
    if (kind == RequestKind::ConfigurationProbe)
        sentRequest.probedVersion = 1 + this->random.nextBelow(this->newestVersion);
    // The two latest removals and the next one.
    if (kind == RequestKind::RemovedRouteProbe)
        sentRequest.probedVersion =
                this->newestVersion + 1
                - this->random.nextBelow(std::min<std::uint64_t>(3, this->newestVersion));
    this->checker.onSent(id, sentRequest);
    const Duration timeout = isStream ? StreamTimeout : RequestTimeout;
    HttpRequest request;
    request.endpoint = *targetHost.callerEndpoint;
    request.method = "POST";
    request.target = requestPath(kind, sentRequest.probedVersion);
    request.headers = {{"Host", "soak.example"},
                       {"X-Request-Id", id},
                       {"X-Deadline-Ms", std::to_string(timeout.count() / 1'000)},
                       {"Api-Key", ApiKey}};
    if (isStream) {
        request.headers.emplace_back("X-Model", "m");
        request.headers.emplace_back("X-Token-Counts", "500,50");
        request.headers.emplace_back("X-Prompt-Prefix", this->promptParts(number, load));
    }
    const bool isRepeated = load != nullptr && !load->isPart;
    request.body = std::make_shared<const std::string>("body of " + (isRepeated ? load->name : id));
    if (load != nullptr)
        request.headers.emplace_back("X-Soak-Deadly", load->name);
    request.timeout = timeout + FinalResponseMargin;
    request.requireNewConnection = this->random.nextDouble() < 0.3;
    const bool hostEnds = targetHost.expectsExit;
    this->fetches[number] = std::make_unique<HttpFetch>(
            this->client, request,
            [this, number, id, hostEnds](const std::optional<HttpResponse> &response,
                                         const HttpFailure &failure) {
                const std::shared_ptr<HttpFetch> finishedFetch = std::move(this->fetches[number]);
                this->fetches.erase(number);
                this->loop.disposeLater(finishedFetch);
                if (!response) {
                    const SoakRequest &ended = *this->checker.find(id);
                    if (failure.kind == HttpFailureKind::ConnectionLost
                        && this->endedWithGracePeriod(ended))
                        return this->checker.onEndedWithGracePeriod(id);
                    if (this->kind == SoakRunKind::OddValues && !hostEnds)
                        this->checkAnswered(id, ended);
                    return this->checker.onFailure(id, failure);
                }
                this->checker.onResponse(id, *response, this->loop.now());
                const SoakRequest &answered = *this->checker.find(id);
                if (response->status == 404 && answered.kind == RequestKind::ConfigurationProbe)
                    this->bounds.onRefusedRoute(id, answered);
            });
    return number;
}

void SoakRun::leave(std::uint64_t number)
{
    if (this->fetches.erase(number) > 0)
        this->checker.onCallerLeft("q" + std::to_string(number));
}

bool SoakRun::endedWithGracePeriod(const SoakRequest &request) const
{
    const auto shutDown = this->shutDownAt.find({request.host, request.incarnation});
    return shutDown != this->shutDownAt.end()
           && request.sentAt - shutDown->second <= LastRequestAfterShutdown
           && this->loop.now() - shutDown->second >= GracePeriod * 5 / 6;
}

} // namespace dotterel::soak
