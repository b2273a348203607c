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

/// Share of this host in the retry budget of the fleet, kept as one token bucket for each pool.
/// Hosts do not coordinate: each one spends its part of the slack plus a ratio of its own requests,
/// and stays below its share so that the limit holds when the number of hosts is out of date.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetLimits &limits);

    /// Sets the number of hosts that share the limit.
    void setHostCount(std::size_t count) { this->hostCount = count == 0 ? 1 : count; }

    /// Replaces the limit.
    void setLimits(const RetryBudgetLimits &newLimits) { this->limits = newLimits; }

    /// Adds the credit that a new request for \a pool earns.
    void onRequest(const std::string &pool, TimePoint now);

    /// Consumes one retry for \a pool; returns false if the budget is exhausted.
    bool tryConsume(const std::string &pool, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint refilledAt;
        bool initialized = false;
    };

    Bucket &refill(const std::string &pool, TimePoint now);
    double bucketCapacity() const;

    RetryBudgetLimits limits;
    std::size_t hostCount = 1;
    std::map<std::string, Bucket> buckets;
};

} // namespace dotterel
