#include "support/limited_fleet.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel::support {

namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration ServiceTime = std::chrono::milliseconds(30);
/// Batching of news and a link between failure domains.
constexpr Duration NoticeDelay = std::chrono::milliseconds(5);
constexpr Duration RuleWindow = std::chrono::seconds(4);
constexpr Duration WarmUpRuleWindow = std::chrono::seconds(1);
/// The store's watch of the first host that hears of an entry, and its news to the others.
constexpr Duration EntryDelay = std::chrono::milliseconds(5);
constexpr std::uint64_t EntryJitterMs = 15;
constexpr Duration EntryInterval = std::chrono::milliseconds(1'200);

std::size_t mostIn(Duration window, const std::vector<TimePoint> &arrived, TimePoint since)
{
    std::size_t most = 0;
    for (auto first = arrived.begin(); first != arrived.end(); ++first) {
        if (*first < since)
            continue;
        const auto last = std::upper_bound(first, arrived.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

LimitedFleet::LimitedFleet(std::size_t hostCount, std::size_t serverCount, LimitedLoad load)
    : load(load)
    , hosts(hostCount)
    , hostHashes(hostCount)
    , collectedAttempts(hostCount)
{
    for (std::size_t index = 0; index < serverCount; ++index)
        this->servers.emplace_back().id = "app-" + std::to_string(index);
    for (std::size_t index = 0; index < hostCount; ++index)
        this->startHost(index);
}

void LimitedFleet::startHost(std::size_t host)
{
    this->hostHashes[host] = this->nextHostHash++;
    ServerFleetTimings timings;
    timings.pace.initialWindow = this->paceWindow;
    this->hosts[host] = std::make_unique<ForwardBench>(this->hostHashes[host], timings);
    this->hosts[host]->random = SeededRandom(this->hostHashes[host]);
    this->hosts[host]->controller.setHostCount(this->hosts.size());
    this->hosts[host]->now = this->now;
    for (auto &[name, pool] : this->hosts[host]->configuration.pools) {
        pool.warmUpTime = this->warmUpTime;
        pool.warmUpRate = this->warmUpRate;
    }
    this->hosts[host]->applyConfiguration();
    for (const Server &server : this->servers)
        this->hosts[host]->fleet.put(this->entryOf(server), this->now);
    this->collectedAttempts[host] = 0;
}

GatewayServer LimitedFleet::entryOf(const Server &server) const
{
    GatewayServer entry;
    entry.id = server.id;
    entry.pool = this->load == LimitedLoad::Prompts ? "engines" : "app";
    entry.failureDomain = "centro-a";
    entry.endpoint = {"127.0.0.1", 80};
    entry.slots = 6;
    entry.incarnation = server.incarnation;
    entry.warmUpLeft = server.warmsUpInAnswers
                               ? Duration::zero()
                               : std::max(Duration::zero(), server.warmAt - this->now);
    return entry;
}

void LimitedFleet::setWarmUp(Duration warmUpTime, double rate)
{
    this->warmUpTime = warmUpTime;
    this->warmUpRate = rate;
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->startHost(host);
}

void LimitedFleet::setPaceWindow(std::size_t window)
{
    this->paceWindow = window;
    this->sharesPrompts = true;
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->startHost(host);
}

void LimitedFleet::slowDown(std::size_t server, Duration time, Duration duration)
{
    this->servers.at(server).slowTime = time;
    this->servers.at(server).slowUntil = this->now + duration;
}

void LimitedFleet::restartServer(std::size_t server)
{
    Server &restarted = this->servers.at(server);
    ++restarted.incarnation;
    this->warmUpAgain(server, this->warmUpTime, false);
    const auto isOfServer = [server](const auto &answer) { return answer.server == server; };
    this->answers.erase(std::remove_if(this->answers.begin(), this->answers.end(), isOfServer),
                        this->answers.end());
}

void LimitedFleet::warmUpAgain(std::size_t server, Duration duration, bool inAnswers)
{
    Server &again = this->servers.at(server);
    again.warmAt = this->now + duration;
    again.warmsUpInAnswers = inAnswers;
    again.boundSince = this->now + EntryDelay + std::chrono::milliseconds(EntryJitterMs)
                       + (inAnswers ? ServiceTime + NoticeDelay : Duration::zero());
    if (!inAnswers)
        again.nextEntryAt = this->now;
}

void LimitedFleet::writeDueEntries()
{
    for (Server &server : this->servers) {
        if (!server.nextEntryAt || *server.nextEntryAt > this->now)
            continue;
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            const auto jitter = std::chrono::milliseconds(this->random.nextBelow(EntryJitterMs));
            this->entries.push_back({this->now + EntryDelay + jitter, host, this->entryOf(server)});
        }
        server.nextEntryAt.reset();
        if (server.warmAt > this->now)
            server.nextEntryAt = std::min(this->now + EntryInterval, server.warmAt);
    }
}

void LimitedFleet::deliverDueEntries()
{
    const auto due = std::stable_partition(
            this->entries.begin(), this->entries.end(),
            [this](const PendingEntry &entry) { return entry.dueAt > this->now; });
    for (auto entry = due; entry != this->entries.end(); ++entry)
        this->hosts[entry->receiver]->fleet.put(entry->server, this->now);
    this->entries.erase(due, this->entries.end());
}

void LimitedFleet::cut(std::size_t count, bool known)
{
    this->cutHosts = count;
    const std::size_t total = this->hosts.size();
    for (std::size_t host = 0; host < total; ++host) {
        const std::size_t inTouch = host < count ? count : total - count;
        const double share = static_cast<double>(inTouch) / static_cast<double>(total);
        this->hosts[host]->fleet.limits().setFleetShare(known && count > 0 ? share : 1.0);
    }
}

void LimitedFleet::restart(std::size_t host)
{
    const auto isOfHost = [host](const auto &entry) { return entry.host == host; };
    this->answers.erase(std::remove_if(this->answers.begin(), this->answers.end(), isOfHost),
                        this->answers.end());
    this->openCalls.erase(std::remove_if(this->openCalls.begin(), this->openCalls.end(),
                                         [host](const auto &call) { return call.first == host; }),
                          this->openCalls.end());
    this->startHost(host);
    // It asks the others, as a host that joins does.
    for (std::size_t other = 0; other < this->hosts.size(); ++other) {
        if (other == host || this->isCut(host, other))
            continue;
        const ServerFleet &known = this->hosts[other]->fleet;
        for (const ServerLimitNotice &notice : known.limits().notices())
            this->notices.push_back({this->now + NoticeDelay, other, host, this->hostHashes[other],
                                     notice, std::nullopt, std::nullopt});
        for (const ServerWarmUpNotice &notice : known.warmUpNotices(this->now))
            this->notices.push_back({this->now + NoticeDelay, other, host, this->hostHashes[other],
                                     std::nullopt, notice, std::nullopt});
    }
}

bool LimitedFleet::isCut(std::size_t left, std::size_t right) const
{
    return (left < this->cutHosts) != (right < this->cutHosts);
}

void LimitedFleet::sendNotices(std::size_t host)
{
    for (const ServerLimitNotice &notice : this->hosts[host]->limitNotices)
        this->sendNotice({this->now + NoticeDelay, host, 0, this->hostHashes[host], notice,
                          std::nullopt, std::nullopt});
    for (const ServerWarmUpNotice &notice : this->hosts[host]->warmUpNotices)
        this->sendNotice({this->now + NoticeDelay, host, 0, this->hostHashes[host], std::nullopt,
                          notice, std::nullopt});
    if (this->sharesPrompts) {
        for (const PromptUpdate &update : this->hosts[host]->promptUpdates)
            this->sendNotice({this->now + NoticeDelay, host, 0, this->hostHashes[host],
                              std::nullopt, std::nullopt, update});
    }
    this->hosts[host]->promptUpdates.clear();
    this->hosts[host]->limitNotices.clear();
    this->hosts[host]->warmUpNotices.clear();
}

void LimitedFleet::sendNotice(const PendingNotice &notice)
{
    for (std::size_t other = 0; other < this->hosts.size(); ++other) {
        if (other == notice.sender || this->isCut(notice.sender, other)
            || this->random.nextDouble() < this->lossRate)
            continue;
        this->notices.push_back(notice);
        this->notices.back().receiver = other;
    }
}

void LimitedFleet::deliverDueNotices()
{
    while (!this->notices.empty() && this->notices.front().dueAt <= this->now) {
        const PendingNotice pending = this->notices.front();
        this->notices.pop_front();
        this->deliver(pending);
    }
}

void LimitedFleet::deliverPrompt(const PendingNotice &pending)
{
    const PromptUpdate &update = *pending.prompt;
    ForwardBench &host = *this->hosts[pending.receiver];
    const PromptKey key{pending.senderHash, update.sequence};
    if (update.kind == PromptUpdateKind::FirstEvent) {
        host.promptPlacement.onFirstEvent(key, this->now);
        host.fleet.onPromptFirstEvent(key, this->now);
    } else if (update.kind != PromptUpdateKind::Dispatched) {
        host.promptPlacement.onEnded(key, this->now);
        host.fleet.onPromptEnded(key);
    }
    for (const Server &server : this->servers) {
        if (hash32(server.id) != update.serverHash)
            continue;
        if (update.kind == PromptUpdateKind::FirstEvent)
            host.fleet.onAttemptOutcome(server.id, AttemptOutcome::Answered, this->now);
        if (update.kind != PromptUpdateKind::Dispatched)
            continue;
        EnginePrompt prompt;
        prompt.key = key;
        prompt.demand = update.demand;
        prompt.dispatchedAt = this->now;
        host.promptPlacement.onDispatched(server.id, *host.configuration.pools["engines"].engine,
                                          prompt, this->now);
        host.fleet.onPromptDispatched(server.id, prompt, this->now);
    }
}

void LimitedFleet::deliver(const PendingNotice &pending)
{
    if (pending.prompt)
        return this->deliverPrompt(pending);
    const std::uint32_t hash =
            pending.limit ? pending.limit->serverHash : pending.warmUp->serverHash;
    ServerFleet &fleet = this->hosts[pending.receiver]->fleet;
    for (const Server &server : this->servers) {
        if (hash32(server.id) != hash)
            continue;
        if (pending.warmUp)
            fleet.onWarmUpNotice(server.id, pending.senderHash, *pending.warmUp, this->now);
        if (pending.limit
            && fleet.limits().onNotice(server.id, pending.senderHash, *pending.limit, this->now))
            this->hosts[pending.receiver]->limitNotices.push_back(
                    *fleet.limits().notice(server.id));
    }
}

void LimitedFleet::setLimit(std::size_t server, std::optional<double> limit)
{
    this->servers.at(server).limit = limit;
}

void LimitedFleet::play(Duration duration, double requestsPerSecond)
{
    const TimePoint end = this->now + duration;
    while (this->now < end) {
        this->now += Step;
        this->writeDueEntries();
        this->deliverDueEntries();
        this->deliverDueNotices();
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            this->hosts[host]->advanceTime(this->now - this->hosts[host]->now);
            this->collectAttempts(host);
        }
        this->answerDueAttempts();
        double expected = requestsPerSecond * toSeconds(Step);
        for (; expected > 0; expected -= 1) {
            if (this->random.nextDouble() < expected)
                this->sendRequest(this->random.nextBelow(this->hosts.size()));
        }
        for (std::size_t host = 0; host < this->hosts.size(); ++host)
            this->sendNotices(host);
        this->countOutcomes();
    }
}

void LimitedFleet::sendRequest(std::size_t host)
{
    // Each request is another one, so that none is held to be the cause of a restart.
    const std::string number = std::to_string(this->nextRequest++);
    const HttpCallId call =
            this->load == LimitedLoad::Prompts
                    ? this->hosts[host]->request("/questions/" + number, {{"Tokens", "2000,10"}})
                    : this->hosts[host]->request("/lookups/" + number);
    this->openCalls.emplace_back(host, call);
    this->collectAttempts(host);
}

void LimitedFleet::collectAttempts(std::size_t host)
{
    const std::vector<SentAttempt> &sent = this->hosts[host]->sentAttempts;
    for (std::size_t &index = this->collectedAttempts[host]; index < sent.size(); ++index) {
        const std::string id = sent[index].header("Server");
        for (std::size_t server = 0; server < this->servers.size(); ++server) {
            if (this->servers[server].id != id)
                continue;
            this->servers[server].arrivedAt.push_back(this->now);
            if (this->now >= this->servers[server].boundSince
                && this->now < this->servers[server].warmAt)
                this->servers[server].arrivedInWarmUp.push_back(this->now);
            const Server &asked = this->servers[server];
            const PendingAnswer answer{
                    this->now + (this->now < asked.slowUntil ? asked.slowTime : ServiceTime), host,
                    index, server};
            const auto later = std::find_if(
                    this->answers.begin(), this->answers.end(),
                    [&answer](const auto &other) { return other.dueAt > answer.dueAt; });
            this->answers.insert(later, answer);
        }
    }
}

void LimitedFleet::answerDueAttempts()
{
    while (!this->answers.empty() && this->answers.front().dueAt <= this->now) {
        const PendingAnswer answer = this->answers.front();
        this->answers.pop_front();
        HttpHeaders headers = {{"Signed", "s"}};
        if (const std::optional<double> limit = this->servers[answer.server].limit)
            headers.emplace_back("Limit", std::to_string(*limit));
        const Server &server = this->servers[answer.server];
        const Duration warmUpLeft = std::max(Duration::zero(), server.warmAt - this->now);
        if (server.warmsUpInAnswers)
            headers.emplace_back("Warm-Up-Ms", std::to_string(warmUpLeft.count() / 1'000));
        this->hosts[answer.host]->respond(answer.attempt, 200, headers, "id: 1\ndata: done\n\n");
        this->collectAttempts(answer.host);
    }
}

void LimitedFleet::countOutcomes()
{
    for (auto call = this->openCalls.begin(); call != this->openCalls.end();) {
        const CallerOutcome &outcome = this->hosts[call->first]->outcome(call->second);
        if (!outcome.ended) {
            ++call;
            continue;
        }
        ++(outcome.status == 200 ? this->served : this->refused);
        if (const std::string *delay = findHeader(outcome.headers, "Retry-After-Ms"))
            this->retryDelays.push_back(std::stod(*delay));
        call = this->openCalls.erase(call);
    }
}

std::size_t LimitedFleet::mostIn4Seconds(std::size_t server, TimePoint since) const
{
    return mostIn(RuleWindow, this->servers.at(server).arrivedAt, since);
}

std::size_t LimitedFleet::mostIn1SecondOfWarmUps(std::size_t server) const
{
    return mostIn(WarmUpRuleWindow, this->servers.at(server).arrivedInWarmUp, TimePoint());
}

std::size_t LimitedFleet::arrivals(std::size_t server, TimePoint since) const
{
    const std::vector<TimePoint> &arrived = this->servers.at(server).arrivedAt;
    return static_cast<std::size_t>(std::count_if(
            arrived.begin(), arrived.end(), [since](TimePoint time) { return time >= since; }));
}

std::size_t LimitedFleet::busiest(TimePoint since) const
{
    std::size_t busiest = 0;
    for (std::size_t server = 1; server < this->servers.size(); ++server) {
        if (this->arrivals(server, since) > this->arrivals(busiest, since))
            busiest = server;
    }
    return busiest;
}

} // namespace dotterel::support
