#include "support/limited_fleet.h"

#include <algorithm>

namespace dotterel::support {

namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration ServiceTime = std::chrono::milliseconds(30);
constexpr Duration RuleWindow = std::chrono::seconds(4);

} // namespace

LimitedFleet::LimitedFleet(std::size_t hostCount, std::size_t serverCount)
    : collectedAttempts(hostCount, 0)
{
    for (std::size_t index = 0; index < serverCount; ++index)
        this->servers.push_back({"app-" + std::to_string(index), std::nullopt, {}});
    for (std::size_t index = 0; index < hostCount; ++index) {
        this->hosts.push_back(std::make_unique<ForwardBench>());
        this->hosts.back()->random = SeededRandom(index + 1);
        for (const Server &server : this->servers)
            this->hosts.back()->addServer(server.id, "app");
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
        this->countOutcomes();
    }
}

void LimitedFleet::sendRequest(std::size_t host)
{
    this->openCalls.emplace_back(host, this->hosts[host]->request(this->target));
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
        this->hosts[answer.host]->respond(answer.attempt, 200, headers, "done");
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
