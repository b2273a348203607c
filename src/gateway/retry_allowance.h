#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace dotterel {

/// Bound on further attempts that all hosts keep together.
struct RetryBound
{
    double ratio = 0.2;                         ///< Of the requests for a pool in a window.
    double slack = 100;                         ///< Further attempts in a window besides.
    Duration window = std::chrono::seconds(10); ///< Any window of this length counts.
};

/// The share of this host in a bound on further attempts that holds for all hosts together. Hosts
/// do not ask each other: each spends its part of the slack and a ratio of its own requests, and
/// leaves a margin for hosts that are counted wrongly. Pure.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryBound &bound);

    /// Sets how many hosts share the bound.
    void setHosts(std::size_t count) { this->hosts = count == 0 ? 1 : count; }

    /// Replaces the bound.
    void setBound(const RetryBound &changed) { this->bound = changed; }

    /// A request for \a pool arrived.
    void onRequest(const std::string &pool, TimePoint now);

    /// Takes one further attempt out; false if there is none left.
    bool withdraw(const std::string &pool, TimePoint now);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filled;
        bool begun = false;
    };

    Bucket &fill(const std::string &pool, TimePoint now);
    double capacity() const;

    RetryBound bound;
    std::size_t hosts = 1;
    std::map<std::string, Bucket> buckets;
};

} // namespace dotterel
