#pragma once

#include <cstdint>

namespace dotterel {

/// Token bucket that keeps the work of retries below a ratio of the work of first tries, so that
/// failures cannot multiply the load. Pure.
class RequestRetryBudget
{
public:
    /// Starts full: \a reserve is what retries may cost beyond \a ratio times the first tries.
    RequestRetryBudget(double ratio, std::uint64_t reserve);

    /// A first try of \a work was sent.
    void onFirstTry(std::uint64_t work);

    /// Takes \a work out for a retry; returns false, and takes nothing, if there is too little.
    bool withdraw(std::uint64_t work);

private:
    double ratio;
    double reserve;
    double available;
};

} // namespace dotterel
