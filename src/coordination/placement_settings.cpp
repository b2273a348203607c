#include "coordination/placement_settings.h"

#include <cmath>

namespace dotterel {

std::size_t requiredEngineCount(std::uint64_t tokens, std::uint64_t memoryTokens, double longShare,
                                double partShare)
{
    const auto promptTokens = static_cast<double>(tokens);
    const auto engineTokens = static_cast<double>(memoryTokens);
    if (promptTokens <= engineTokens * longShare)
        return 1;
    return static_cast<std::size_t>(std::ceil(promptTokens / (engineTokens * partShare)));
}

} // namespace dotterel
