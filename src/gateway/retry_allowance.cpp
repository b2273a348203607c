#include "gateway/retry_allowance.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Shares of the slack that may be spent at once and over one window. The remaining 15 % cover
/// hosts that joined or left without being counted yet.
constexpr double BurstShare = 0.5;
constexpr double SteadyShare = 0.35;
/// Share of the allowed ratio that is spent; the remainder covers hosts that are not counted yet.
constexpr double RatioShare = 0.75;

} // namespace

RetryAllowance::RetryAllowance(const RetryBound &bound)
    : bound(bound)
{}

void RetryAllowance::onRequest(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->fill(pool, now);
    bucket.tokens = std::min(this->capacity(), bucket.tokens + this->bound.ratio * RatioShare);
}

bool RetryAllowance::withdraw(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->fill(pool, now);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

RetryAllowance::Bucket &RetryAllowance::fill(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->buckets[pool];
    if (!bucket.begun) {
        bucket.begun = true;
        bucket.tokens = this->capacity();
        bucket.filled = now;
    }
    const double refillPerSecond = this->bound.slack * SteadyShare
                                   / static_cast<double>(this->hosts)
                                   / toSeconds(this->bound.window);
    bucket.tokens = std::min(this->capacity(),
                             bucket.tokens + refillPerSecond * toSeconds(now - bucket.filled));
    bucket.filled = now;
    return bucket;
}

double RetryAllowance::capacity() const
{
    return std::max(1.0, this->bound.slack * BurstShare / static_cast<double>(this->hosts));
}

} // namespace dotterel
