#pragma once

#include <cstdint>

namespace dotterel {

/// Token bucket that limits the work of retries to a ratio of the work of first attempts, so that
/// failures cannot multiply the load. Deterministic: performs no I/O and reads no clock.
class RequestRetryBudget
{
public:
    /// The bucket starts full. \a reserve is its capacity: the work that retries may use beyond
    /// \a ratio times the work of first attempts.
    RequestRetryBudget(double ratio, std::uint64_t reserve);

    /// Refills the bucket for a first attempt of cost \a work.
    void onFirstAttempt(std::uint64_t work);

    /// Consumes \a work for a retry. Returns false and consumes nothing if too little is left.
    bool tryConsume(std::uint64_t work);

private:
    double ratio;
    double reserve;
    double available;
};

} // namespace dotterel
