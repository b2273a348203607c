#include "coordination/placement_settings.h"

#include <cmath>

namespace dotterel {

std::size_t groupSize(std::uint64_t tokens, std::uint64_t memoryTokens, double longShare,
                      double partShare)
{
    const auto needed = static_cast<double>(tokens);
    const auto memory = static_cast<double>(memoryTokens);
    if (needed <= memory * longShare)
        return 1;
    return static_cast<std::size_t>(std::ceil(needed / (memory * partShare)));
}

} // namespace dotterel
