#include "coordination/request_retry_budget.h"

#include <algorithm>

namespace dotterel {

RequestRetryBudget::RequestRetryBudget(double ratio, std::uint64_t reserve)
    : ratio(ratio)
    , reserve(static_cast<double>(reserve))
    , available(static_cast<double>(reserve))
{}

void RequestRetryBudget::onFirstAttempt(std::uint64_t work)
{
    this->available =
            std::min(this->reserve, this->available + this->ratio * static_cast<double>(work));
}

bool RequestRetryBudget::tryConsume(std::uint64_t work)
{
    if (this->available < static_cast<double>(work))
        return false;
    this->available -= static_cast<double>(work);
    return true;
}

} // namespace dotterel
