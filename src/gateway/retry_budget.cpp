#include "gateway/retry_budget.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Fractions of the slack that may be spent at once and over one window. The remaining 15 % cover
/// hosts that joined or left and are not yet reflected in the host count.
constexpr double BurstFraction = 0.5;
constexpr double SteadyFraction = 0.35;
/// Fraction of the allowed ratio that may be spent; the rest covers hosts that are not counted yet.
constexpr double RatioFraction = 0.75;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits &limits)
    : limits(limits)
{}

void RetryBudget::onRequest(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->refill(pool, now);
    bucket.tokens =
            std::min(this->bucketCapacity(), bucket.tokens + this->limits.ratio * RatioFraction);
}

bool RetryBudget::tryConsume(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->refill(pool, now);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

RetryBudget::Bucket &RetryBudget::refill(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->buckets[pool];
    if (!bucket.initialized) {
        bucket.initialized = true;
        bucket.tokens = this->bucketCapacity();
        bucket.refilledAt = now;
    }
    const double refillPerSecond = this->limits.slack * SteadyFraction
                                   / static_cast<double>(this->hostCount)
                                   / toSeconds(this->limits.window);
    bucket.tokens = std::min(this->bucketCapacity(),
                             bucket.tokens + refillPerSecond * toSeconds(now - bucket.refilledAt));
    bucket.refilledAt = now;
    return bucket;
}

double RetryBudget::bucketCapacity() const
{
    return std::max(1.0, this->limits.slack * BurstFraction / static_cast<double>(this->hostCount));
}

} // namespace dotterel
