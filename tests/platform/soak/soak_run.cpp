#include "platform/soak/soak_run.h"

#include <algorithm>
#include <fstream>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Pools[] = {"orders", "prompts"};
constexpr const char *Key = "k-cakes";
/// Between two requests, on average.
constexpr std::uint64_t RequestGapMs = 12;
/// From the platform's pages: a configuration is in force, and a leaving server gets no new work,
/// this long after the store said so.
constexpr Duration ApplyBound = milliseconds(2'000);
/// A host that was harmed is held to that bound again after as long.
constexpr Duration ContactBound = milliseconds(3'000);
/// What a busy machine may add before a bound counts as missed.
constexpr Duration Margin = milliseconds(500);
constexpr Duration PlainDeadline = seconds(3);
constexpr Duration StreamDeadline = seconds(6);
/// A final answer is due this long after the deadline at the latest.
constexpr Duration AnswerMargin = milliseconds(1'500);
constexpr Duration StartLimit = seconds(20);
constexpr Duration RecoveryTime = seconds(6);
constexpr int RecoveryRequests = 60;

std::string pathOf(RequestKind kind, std::uint64_t version)
{
    switch (kind) {
    case RequestKind::Order:
        return "/order/1";
    case RequestKind::Lookup:
        return "/lookup/1";
    case RequestKind::Stream:
        return "/stream/1";
    case RequestKind::Story:
        return "/story/1";
    case RequestKind::Probe:
        break;
    }
    return "/since" + std::to_string(version) + "/1";
}

Json route(const std::string &prefix, const std::string &kind, const std::string &pool,
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

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : options(options)
    , random(options.seed)
    , store(this->loop)
    , client(this->loop, KeptHttpClientLimits{})
{
    for (const char *pool : Pools) {
        for (std::size_t index = 0; index < options.serversAPool; ++index)
            this->addServer(pool);
    }
    this->publishConfiguration();
    this->hosts.resize(options.hosts);
    for (std::size_t index = 0; index < options.hosts; ++index) {
        Host &host = this->hosts[index];
        host.name = "host-" + std::to_string(index);
        host.settingsPath = options.directory + "/" + host.name + ".yaml";
        host.store = std::make_unique<LoopbackProxy>(this->loop, this->store.endpoint());
        std::ofstream settings(host.settingsPath);
        settings << "host: " << host.name << "\nfailure-domain: z-" << index % 2
                 << "\ncallers: 127.0.0.1:0\nreadiness: 127.0.0.1:0\noperators: 127.0.0.1:0\n"
                    "peers: 127.0.0.1:0\nplatform: "
                 << host.store->endpoint().text()
                 << "\nplatform-timeout-ms: 1500\nheartbeat-interval-ms: 250\n";
    }
}

SoakRun::~SoakRun() = default;

void SoakRun::play()
{
    for (Host &host : this->hosts)
        this->startHost(host);
    const TimePoint limit = this->loop.now() + StartLimit;
    const auto started = [](const Host &host) { return host.callers.has_value(); };
    while (!std::all_of(this->hosts.begin(), this->hosts.end(), started)) {
        this->runFor(milliseconds(50));
        this->superviseHosts();
        if (this->loop.now() > limit)
            return this->promises.note("start: a host did not start");
    }
    this->runFor(seconds(1));
    this->scheduleRequest();
    this->scheduleFault();
    const TimePoint end = this->loop.now() + this->options.length;
    while (this->loop.now() < end) {
        this->runFor(milliseconds(50));
        this->superviseHosts();
    }
    this->healAll();
    this->checkRecovery();
}

void SoakRun::runFor(Duration span)
{
    const EventLoop::TimerHandle timer = this->loop.after(span, [this] { this->loop.stop(); });
    this->loop.run();
}

void SoakRun::later(Duration delay, std::function<void()> action)
{
    const auto place = this->timers.emplace(this->timers.end());
    *place = this->loop.after(delay, [this, place, action = std::move(action)] {
        action();
        this->timers.erase(place);
    });
}

// Hosts

void SoakRun::startHost(Host &host)
{
    ++host.incarnation;
    host.callers.reset();
    host.isStopped = false;
    host.isLeaving = false;
    host.calmSince = this->loop.now();
    host.logPath = this->options.directory + "/" + host.name + "-"
                   + std::to_string(host.incarnation) + ".log";
    host.process = std::make_unique<support::ChildProcess>(
            std::vector<std::string>{this->options.program, "--settings", host.settingsPath},
            host.logPath);
}

void SoakRun::superviseHosts()
{
    for (Host &host : this->hosts) {
        if (!host.process->running()) {
            if (!host.isLeaving)
                this->promises.note("ended: " + host.name + " ended by itself, see "
                                    + host.logPath);
            this->startHost(host);
        }
        if (host.callers)
            continue;
        std::ifstream log(host.logPath);
        std::string line;
        if (!std::getline(log, line) || log.eof())
            continue;
        const Json event = Json::parse(line, nullptr, false);
        if (event.is_discarded() || !event.contains("callers"))
            continue;
        const auto text = event["callers"].get<std::string>();
        host.callers =
                Endpoint{"127.0.0.1",
                         static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)))};
        host.calmSince = this->loop.now();
    }
}

// Servers and configuration

void SoakRun::addServer(const std::string &pool)
{
    const std::string id = "s-" + std::to_string(this->nextServer++);
    this->servers.push_back(
            std::make_unique<SoakServer>(this->loop, id, pool, this->promises, this->random));
    this->listed.push_back(this->servers.back().get());
    this->store.put("servers", id, this->servers.back()->entry(false));
}

void SoakRun::leaveServer()
{
    const std::size_t index = this->random.nextBelow(this->listed.size());
    SoakServer *leaving = this->listed[index];
    this->listed.erase(this->listed.begin() + static_cast<std::ptrdiff_t>(index));
    this->addServer(leaving->service());
    this->store.put("servers", leaving->name(), leaving->entry(true));
    this->later(ApplyBound, [this, leaving] { this->store.remove("servers", leaving->name()); });
}

void SoakRun::publishConfiguration()
{
    const std::uint64_t version = this->configurations.size() + 1;
    Json routes = {route("/order/", "non_idempotent", "orders", PlainDeadline),
                   route("/lookup/", "idempotent", "orders", PlainDeadline),
                   route("/stream/", "stream", "prompts", StreamDeadline),
                   route("/story/", "stream", "prompts", StreamDeadline)};
    for (std::uint64_t since = 1; since <= version; ++since)
        routes.push_back(route("/since" + std::to_string(since) + "/", "idempotent", "orders",
                               PlainDeadline));
    const Json engine = {{"slots", 8},        {"kv_tokens", 400'000}, {"stride", 34},
                         {"step_ms", 1.3},    {"per_seq_ms", 0.001},  {"context_per_k", 0.002},
                         {"read_per_s", 1e5}, {"pairs_per_m", 0.16},  {"chunk", 2'048},
                         {"hop_ms", 0.1}};
    const Json limits = {{"max_header_bytes", 16'384},
                         {"max_body_bytes", 1'048'576},
                         {"header_timeout_ms", 3'000},
                         {"idle_timeout_ms", 10'000}};
    this->store.put("config", "main",
                    {{"version", version},
                     {"routes", routes},
                     {"services",
                      {{{"name", "orders"}, {"max_conns", 100}},
                       {{"name", "prompts"}, {"max_conns", 100}, {"engine", engine}}}},
                     {"limits", limits},
                     {"tenants", {{{"name", "cakes"}, {"api_keys", {Key}}}}}});
    this->configurations.emplace_back(version, this->loop.now());
}

// Requests

void SoakRun::scheduleRequest()
{
    this->later(milliseconds(1 + this->random.nextBelow(2 * RequestGapMs)), [this] {
        if (this->isQuiet)
            return;
        this->sendRequest(this->random.nextBelow(this->hosts.size()),
                          static_cast<RequestKind>(this->random.nextBelow(5)));
        this->scheduleRequest();
    });
}

void SoakRun::sendRequest(std::size_t host, RequestKind kind)
{
    Host &target = this->hosts[host];
    if (!target.callers)
        return;
    const std::uint64_t number = this->nextRequest++;
    const std::string id = "q" + std::to_string(number);
    const bool streams = kind == RequestKind::Stream || kind == RequestKind::Story;
    SoakRequest entry;
    entry.kind = kind;
    entry.host = host;
    entry.incarnation = target.incarnation;
    entry.sent = this->loop.now();
    entry.disturbed = target.isStopped;
    if (kind == RequestKind::Probe)
        entry.version = 1 + this->random.nextBelow(this->configurations.size());
    this->promises.onSent(id, entry);
    const Duration deadline = streams ? StreamDeadline : PlainDeadline;
    HttpRequest request;
    request.endpoint = *target.callers;
    request.method = "POST";
    request.target = pathOf(kind, entry.version);
    request.headers = {{"Host", "soak.example"},
                       {"X-Request-Id", id},
                       {"X-Deadline-Ms", std::to_string(deadline.count() / 1'000)},
                       {"Api-Key", Key}};
    if (streams) {
        request.headers.emplace_back("X-Model", "m");
        request.headers.emplace_back("X-Token-Counts", "500,50");
        request.headers.emplace_back("X-Prompt-Prefix", "5c1e07a2:500");
    }
    request.body = std::make_shared<const std::string>("body of " + id);
    request.timeout = deadline + AnswerMargin;
    request.freshConnection = this->random.nextDouble() < 0.3;
    this->fetches[number] = std::make_unique<HttpFetch>(
            this->client, request,
            [this, number, id, host](const std::optional<HttpResponse> &response,
                                     const HttpFailure &failure) {
                const std::shared_ptr<HttpFetch> ended = std::move(this->fetches[number]);
                this->fetches.erase(number);
                this->loop.disposeLater(ended);
                if (!response)
                    return this->promises.onFailed(id, failure);
                this->promises.onAnswered(id, *response);
                if (response->status == 404)
                    this->checkProbe(id, host);
            });
}

void SoakRun::checkProbe(const std::string &id, std::size_t host)
{
    const SoakRequest *request = this->promises.find(id);
    const auto &[version, written] = this->configurations[request->version - 1];
    const TimePoint bound = std::max(written, this->hosts[host].calmSince + ContactBound);
    if (request->incarnation == this->hosts[host].incarnation
        && request->sent > bound + ApplyBound + Margin)
        this->promises.note("configuration: host " + std::to_string(host) + " did not have version "
                            + std::to_string(version) + " in time");
}

void SoakRun::checkRecovery()
{
    const TimePoint end = this->loop.now() + RecoveryTime;
    while (this->loop.now() < end) {
        this->runFor(milliseconds(50));
        this->superviseHosts();
    }
    const std::uint64_t first = this->nextRequest;
    for (int count = 0; count < RecoveryRequests; ++count) {
        this->sendRequest(static_cast<std::size_t>(count) % this->hosts.size(),
                          static_cast<RequestKind>(count % 5));
        this->runFor(milliseconds(30));
    }
    this->runFor(StreamDeadline);
    for (std::uint64_t number = first; number < this->nextRequest; ++number) {
        const std::string id = "q" + std::to_string(number);
        const SoakRequest *request = this->promises.find(id);
        if (request->status.value_or(0) != 200)
            this->promises.note("recovery: " + id + " of kind "
                                + std::to_string(static_cast<int>(request->kind)) + " got "
                                + std::to_string(request->status.value_or(0)) + " at host "
                                + std::to_string(request->host));
    }
    if (this->nextRequest - first < RecoveryRequests)
        this->promises.note("recovery: a host did not come back");
}

} // namespace dotterel::soak
