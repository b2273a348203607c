#include "gateway/retry_lending.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

/// Bounds the hosts that are asked in one round.
constexpr std::size_t MaxHostsPerRound = 24;
/// Bounds what is asked for in one round.
constexpr double MaxTokensPerRound = 8;
/// Values that differ by this part only are equal but for rounding.
constexpr double ValueTolerance = 1e-9;
/// A smaller loan is not worth its message.
constexpr double MinLoan = 0.01;

} // namespace

RetryLending::RetryLending(RetryBudget &budget, std::uint32_t hostHash, RandomSource &random)
    : budget(budget)
    , hostHash(hostHash)
    , random(random)
{}

double RetryLending::meanValue(const Queue &queue)
{
    double sum = 0;
    for (const auto &[request, value] : queue.values)
        sum += value;
    return sum / static_cast<double>(std::max<std::size_t>(1, queue.values.size()));
}

bool RetryLending::tryConsume(const std::string &pool, RequestId request, double value,
                              TimePoint now)
{
    const auto queue = this->queues.find(pool);
    if (queue != this->queues.end()) {
        double needed = 0;
        for (const auto &[other, otherValue] : queue->second.values)
            needed += other != request && otherValue > value ? 1 : 0;
        if (needed > 0 && this->budget.available(pool, now) < needed + 1)
            return false;
    }
    return this->budget.tryConsume(pool, now);
}

void RetryLending::await(const std::string &pool, RequestId request, double value)
{
    this->queues[pool].values[request] = value;
}

void RetryLending::endWait(const std::string &pool, RequestId request)
{
    const auto queue = this->queues.find(pool);
    if (queue == this->queues.end())
        return;
    queue->second.values.erase(request);
    if (queue->second.values.empty())
        queue->second.round = 0;
}

std::vector<RetryLending::RequestId> RetryLending::waiting(const std::string &pool) const
{
    std::vector<RequestId> requests;
    const auto queue = this->queues.find(pool);
    if (queue == this->queues.end())
        return requests;
    for (const auto &[request, value] : queue->second.values)
        requests.push_back(request);
    std::stable_sort(requests.begin(), requests.end(), [&queue](RequestId first, RequestId second) {
        return queue->second.values.at(first) > queue->second.values.at(second);
    });
    return requests;
}

std::vector<RetryLending::AddressedAsk> RetryLending::takeAsks(const std::string &pool,
                                                               TimePoint now)
{
    std::vector<AddressedAsk> asks;
    Queue &queue = this->queues[pool];
    // The more valuable ones first; the others follow within few rounds.
    const double value = meanValue(queue);
    const auto first =
            std::count_if(queue.values.begin(), queue.values.end(), [value](const auto &entry) {
                return entry.second >= value - ValueTolerance * value;
            });
    const double missing = std::min(MaxTokensPerRound, static_cast<double>(first))
                           - this->budget.available(pool, now);
    if (this->hosts.empty() || queue.values.empty() || missing <= 0 || now < queue.nextRound)
        return asks;
    queue.nextRound = now + RoundInterval;
    ++queue.round;
    for (auto entry = queue.unanswered.begin(); entry != queue.unanswered.end();)
        entry = now - entry->second > RetryBudget::LoanLifetime ? queue.unanswered.erase(entry)
                                                                : std::next(entry);
    const double share = std::max(this->budget.slackShare(), MinLoan);
    const auto enough = static_cast<std::size_t>(std::ceil(missing / share));
    const std::size_t limit = std::min(MaxHostsPerRound, this->hosts.size());
    const std::size_t count = std::min(limit, enough * (queue.round + 1));
    const double tokens = missing / static_cast<double>(std::min(enough, count));
    // All hosts list each other alike; each begins elsewhere, and goes on where it stopped.
    if (queue.round == 1)
        this->nextHost = this->random.nextBelow(this->hosts.size());
    const std::uint64_t number = this->nextNumber++;
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint32_t host = this->hosts[this->nextHost++ % this->hosts.size()];
        asks.push_back({host, {hash32(pool), number, tokens, value}});
        queue.unanswered[{number, host}] = now;
    }
    return asks;
}

std::optional<RetryLoan> RetryLending::onAsk(const std::string &pool, std::uint32_t host,
                                             const RetryAsk &ask, TimePoint now)
{
    const auto queue = this->queues.find(pool);
    if (queue != this->queues.end() && !queue->second.values.empty()) {
        const double ownValue = meanValue(queue->second);
        if (std::make_pair(ownValue, this->hostHash) > std::make_pair(ask.value, host))
            return std::nullopt;
    }
    if (std::min(ask.tokens, this->budget.available(pool, now)) < MinLoan)
        return std::nullopt;
    const double tokens = this->budget.lend(pool, ask.tokens, now);
    return RetryLoan{ask.poolHash, ask.number, tokens};
}

bool RetryLending::onLoan(const std::string &pool, std::uint32_t host, const RetryLoan &loan,
                          TimePoint now)
{
    Queue &queue = this->queues[pool];
    const auto ask = queue.unanswered.find({loan.number, host});
    if (ask == queue.unanswered.end())
        return false;
    const bool isLate = now - ask->second > RetryBudget::LoanLifetime;
    queue.unanswered.erase(ask);
    if (isLate)
        return false;
    this->budget.borrow(pool, loan.tokens, now);
    return true;
}

} // namespace dotterel
