#pragma once

#include <cstddef>

namespace dotterel {

/// Limits on the response bytes that are held back before they are passed on: an event that is not
/// complete, an error response that a retry may replace, the start of a plain response.
struct ResponseLimits
{
    std::size_t maxHeldBytes = 256UL * 1024; ///< Per response.
    std::size_t maxTotalHeldBytes = 32UL * 1024 * 1024;
};

} // namespace dotterel
