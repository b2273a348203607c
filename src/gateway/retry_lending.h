#pragma once

#include "core/random_source.h"
#include "gateway/retry_budget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Asks a host for tokens of its retry budget.
struct RetryAsk
{
    std::uint32_t poolHash = 0; ///< Hash of the name of the pool.
    std::uint64_t number = 0;   ///< Echoed by the loan.
    double tokens = 0;
    double value = 0; ///< Mean of the requests that wait for a retry.
};

/// Tokens that a host has taken out of its retry budget for another one.
struct RetryLoan
{
    std::uint32_t poolHash = 0;
    std::uint64_t number = 0; ///< Of the ask.
    double tokens = 0;
};

/// Decides who may retry when the hosts of a fleet have spent their shares of the retry budget
/// unevenly. After the servers of a failure domain are lost, some hosts have many requests to
/// retry, most have none, and a share of a large fleet is less than one retry. Requests that lack a
/// retry wait here, and this host asks a few others, and more in each round, for tokens. A host
/// lends what it does not need itself; if both have requests that wait, the more valuable one
/// goes first. A lost ask or loan costs tokens and never creates any. Performs no I/O.
class RetryLending
{
public:
    using RequestId = std::uint64_t;

    /// An ask and the host that it goes to.
    struct AddressedAsk
    {
        std::uint32_t host = 0;
        RetryAsk ask;
    };

    /// \a hostHash identifies this incarnation of the host.
    RetryLending(RetryBudget &budget, std::uint32_t hostHash, RandomSource &random);

    /// Time between two rounds, and after which a request waits in vain.
    static constexpr Duration RoundInterval = std::chrono::milliseconds(25);
    static constexpr Duration MaxWait = std::chrono::milliseconds(125);

    /// Sets the other hosts, by the hashes of their incarnations.
    void setHosts(std::vector<std::uint32_t> hosts) { this->hosts = std::move(hosts); }

    /// Returns true if there is a host that may lend tokens.
    bool hasHosts() const { return !this->hosts.empty(); }

    /// Consumes one retry of \a pool for \a request. Returns false if the share of this host is
    /// exhausted, or needed by requests that wait and are worth more.
    bool tryConsume(const std::string &pool, RequestId request, double value, TimePoint now);

    /// \a request waits for a retry of \a pool.
    void await(const std::string &pool, RequestId request, double value);

    /// \a request does not wait any more.
    void endWait(const std::string &pool, RequestId request);

    /// Returns the requests that wait for \a pool, the most valuable ones first.
    std::vector<RequestId> waiting(const std::string &pool) const;

    /// Returns what to ask other hosts for \a pool now; empty before the next round is due.
    std::vector<AddressedAsk> takeAsks(const std::string &pool, TimePoint now);

    /// Handles the ask of \a host. Returns the loan to send to it.
    std::optional<RetryLoan> onAsk(const std::string &pool, std::uint32_t host, const RetryAsk &ask,
                                   TimePoint now);

    /// Adds the loan of \a host. Returns false if it is late, repeated or was not asked for.
    bool onLoan(const std::string &pool, std::uint32_t host, const RetryLoan &loan, TimePoint now);

private:
    struct Queue
    {
        std::map<RequestId, double> values; ///< Of the requests that wait.
        std::size_t round = 0;
        TimePoint nextRound;
        std::map<std::pair<std::uint64_t, std::uint32_t>, TimePoint> unanswered; ///< Asks.
    };

    static double meanValue(const Queue &queue);

    RetryBudget &budget;
    std::uint32_t hostHash;
    RandomSource &random;
    std::vector<std::uint32_t> hosts;
    std::size_t nextHost = 0;
    std::uint64_t nextNumber = 1;
    std::map<std::string, Queue> queues;
};

} // namespace dotterel
