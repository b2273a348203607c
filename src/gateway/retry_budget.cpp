#include "gateway/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterel {

namespace {

/// Fractions of the slack that may be spent at once and over one window. The remaining 15 % cover
/// hosts that joined or left and are not yet reflected in the host count.
constexpr double BurstFraction = 0.5;
constexpr double SteadyFraction = 0.35;
/// Fraction of the allowed ratio that may be spent; the rest covers credit of the window before.
constexpr double RatioFraction = 0.75;
/// Unused credit of requests fades with this part of the window as time constant: the limit counts
/// requests of one window only.
constexpr double CreditLifeFraction = 0.25;
/// Sums of lent fractions may miss a whole token by a rounding error.
constexpr double WholeToken = 1 - 1e-6;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetLimits &limits)
    : limits(limits)
{}

void RetryBudget::onRequest(const std::string &pool, TimePoint now)
{
    this->refill(pool, now).earned += this->limits.ratio * RatioFraction;
}

bool RetryBudget::tryConsume(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->refill(pool, now);
    if (bucket.total() < WholeToken)
        return false;
    bucket.take(1);
    return true;
}

double RetryBudget::available(const std::string &pool, TimePoint now)
{
    return this->refill(pool, now).total();
}

double RetryBudget::lend(const std::string &pool, double tokens, TimePoint now)
{
    Bucket &bucket = this->refill(pool, now);
    // Borrowed tokens are not passed on, as that would prolong their life.
    const double borrowed = std::exchange(bucket.borrowed, 0);
    const double lent = bucket.take(tokens);
    bucket.borrowed = borrowed;
    return lent;
}

void RetryBudget::borrow(const std::string &pool, double tokens, TimePoint now)
{
    Bucket &bucket = this->refill(pool, now);
    bucket.borrowed += tokens;
    bucket.borrowedUntil = now + LoanLifetime;
}

double RetryBudget::Bucket::take(double tokens)
{
    double left = tokens;
    for (double *part : {&this->borrowed, &this->earned, &this->slack}) {
        const double taken = std::min(*part, left);
        *part -= taken;
        left -= taken;
    }
    return tokens - left;
}

RetryBudget::Bucket &RetryBudget::refill(const std::string &pool, TimePoint now)
{
    Bucket &bucket = this->buckets[pool];
    if (!bucket.initialized) {
        bucket.initialized = true;
        bucket.slack = this->slackShare();
        bucket.refilledAt = now;
    }
    const double elapsed = toSeconds(now - bucket.refilledAt);
    const double window = toSeconds(this->limits.window);
    const double refillPerSecond =
            this->limits.slack * SteadyFraction / static_cast<double>(this->hostCount) / window;
    bucket.slack = std::min(this->slackShare(), bucket.slack + refillPerSecond * elapsed);
    bucket.earned *= std::exp(-elapsed / (window * CreditLifeFraction));
    if (now >= bucket.borrowedUntil)
        bucket.borrowed = 0;
    bucket.refilledAt = now;
    return bucket;
}

double RetryBudget::slackShare() const
{
    return this->limits.slack * BurstFraction / static_cast<double>(this->hostCount);
}

} // namespace dotterel
