#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace dotterel {

/// Limit on the retries of all hosts together, for each pool.
struct RetryBudgetLimits
{
    double ratio = 0.2;                         ///< Retries allowed per request of the pool.
    double slack = 100;                         ///< Retries per window on top of the ratio.
    Duration window = std::chrono::seconds(10); ///< Sliding window of the limit.
};

/// Share of this host in the retry budget of the fleet, for each pool. A retry costs one token. The
/// host gets its part of the slack and a ratio of its own requests, and stays below both so that
/// the limit holds when the number of hosts is out of date. Hosts may lend each other tokens: what
/// one adds, another has taken, so that the fleet stays within the limit whatever gets lost.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits);

    /// How long borrowed tokens last. The lender may have earned new ones by then.
    static constexpr Duration LoanLifetime = std::chrono::milliseconds(100);

    /// Sets the number of hosts that share the limit.
    void setHostCount(std::size_t count) { this->hostCount = count == 0 ? 1 : count; }

    /// Replaces the limit.
    void setLimits(const RetryBudgetLimits &newLimits) { this->limits = newLimits; }

    /// Adds the credit that a new request for \a pool earns.
    void onRequest(const std::string &pool, TimePoint now);

    /// Consumes one retry for \a pool; returns false if the share of this host is exhausted.
    bool tryConsume(const std::string &pool, TimePoint now);

    /// Returns the number of tokens that this host has for \a pool.
    double available(const std::string &pool, TimePoint now);

    /// Takes at most \a tokens of \a pool out of the share; returns how many.
    double lend(const std::string &pool, double tokens, TimePoint now);

    /// Adds \a tokens that another host has lent.
    void borrow(const std::string &pool, double tokens, TimePoint now);

    /// Returns the part of the slack that one host saves up.
    double slackShare() const;

private:
    struct Bucket
    {
        double slack = 0;
        double earned = 0;   ///< By requests of this host.
        double borrowed = 0; ///< Until borrowedUntil.
        TimePoint borrowedUntil;
        TimePoint refilledAt;
        bool initialized = false;

        double total() const { return this->slack + this->earned + this->borrowed; }
        double take(double tokens);
    };

    Bucket &refill(const std::string &pool, TimePoint now);

    RetryBudgetLimits limits;
    std::size_t hostCount = 1;
    std::map<std::string, Bucket> buckets;
};

} // namespace dotterel
