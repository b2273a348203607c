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

} // namespace

LimitedFleet::LimitedFleet(std::size_t hostCount, std::size_t serverCount, LimitedLoad load)
    : load(load)
    , hosts(hostCount)
    , hostHashes(hostCount)
    , collectedAttempts(hostCount)
{
    for (std::size_t index = 0; index < serverCount; ++index)
        this->servers.push_back({"app-" + std::to_string(index), std::nullopt, {}});
    for (std::size_t index = 0; index < hostCount; ++index)
        this->startHost(index);
}

void LimitedFleet::startHost(std::size_t host)
{
    this->hostHashes[host] = this->nextHostHash++;
    this->hosts[host] = std::make_unique<ForwardBench>(this->hostHashes[host]);
    this->hosts[host]->random = SeededRandom(this->hostHashes[host]);
    this->hosts[host]->controller.setHostCount(this->hosts.size());
    this->hosts[host]->now = this->now;
    for (const Server &server : this->servers)
        this->hosts[host]->addServer(server.id,
                                     this->load == LimitedLoad::Prompts ? "engines" : "app");
    this->collectedAttempts[host] = 0;
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
        for (const ServerLimitNotice &notice : this->hosts[other]->fleet.limits().notices())
            this->notices.push_back(
                    {this->now + NoticeDelay, other, host, this->hostHashes[other], notice});
    }
}

bool LimitedFleet::isCut(std::size_t left, std::size_t right) const
{
    return (left < this->cutHosts) != (right < this->cutHosts);
}

void LimitedFleet::sendNotices(std::size_t host)
{
    for (const ServerLimitNotice &notice : this->hosts[host]->limitNotices) {
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (other == host || this->isCut(host, other)
                || this->random.nextDouble() < this->lossRate)
                continue;
            this->notices.push_back(
                    {this->now + NoticeDelay, host, other, this->hostHashes[host], notice});
        }
    }
    this->hosts[host]->limitNotices.clear();
}

void LimitedFleet::deliverDueNotices()
{
    while (!this->notices.empty() && this->notices.front().dueAt <= this->now) {
        const PendingNotice pending = this->notices.front();
        this->notices.pop_front();
        for (const Server &server : this->servers) {
            if (hash32(server.id) != pending.notice.serverHash)
                continue;
            ServerLimits &limits = this->hosts[pending.receiver]->fleet.limits();
            if (limits.onNotice(server.id, pending.senderHash, pending.notice, this->now))
                this->hosts[pending.receiver]->limitNotices.push_back(*limits.notice(server.id));
        }
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
    const HttpCallId call =
            this->load == LimitedLoad::Prompts
                    ? this->hosts[host]->request("/questions/1", {{"Tokens", "2000,10"}})
                    : this->hosts[host]->request("/lookups/1");
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
            this->answers.push_back({this->now + ServiceTime, host, index, server});
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
    const std::vector<TimePoint> &arrived = this->servers.at(server).arrivedAt;
    std::size_t most = 0;
    for (auto first = arrived.begin(); first != arrived.end(); ++first) {
        if (*first < since)
            continue;
        const auto last = std::upper_bound(first, arrived.end(), *first + RuleWindow);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t LimitedFleet::arrivals(std::size_t server, TimePoint since) const
{
    const std::vector<TimePoint> &arrived = this->servers.at(server).arrivedAt;
    return static_cast<std::size_t>(std::count_if(
            arrived.begin(), arrived.end(), [since](TimePoint time) { return time >= since; }));
}

} // namespace dotterel::support
