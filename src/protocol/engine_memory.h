#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Names one allocation of an engine's memory; never used again for another.
using AllocationId = std::string;

/// KV memory that an engine holds for a request, as the engine lists it.
struct EngineAllocation
{
    AllocationId id; ///< Of an attempt's own memory, the attempt's.
    HostId host;     ///< The entry host that asked for it.
    Incarnation incarnation = 0;
    RequestId request;
    std::uint64_t tokens = 0;
    Duration age = Duration::zero(); ///< By the engine's own clock.
    Duration timeToLive = Duration::zero();
};

/// Reads an engine's list of allocations, a JSON array; the error says what was wrong.
tl::expected<std::vector<EngineAllocation>, std::string> decodeAllocations(const std::string &text);

/// Returns the body of a request to reserve \a allocation.
std::string encodeReservation(const EngineAllocation &allocation);

} // namespace dotterel
