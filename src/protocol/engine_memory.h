#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Identifies one allocation of an engine's KV memory; never reused.
using AllocationId = std::string;

/// An allocation of KV memory for a request, as the engine reports it.
struct EngineAllocation
{
    AllocationId id; ///< The attempt's id if the attempt itself allocated the memory.
    HostId host;     ///< The entry host that reserved it.
    Incarnation incarnation = 0;
    RequestId request;
    std::uint64_t tokens = 0;
    Duration age = Duration::zero(); ///< By the engine's clock.
    Duration timeToLive = Duration::zero();
};

/// Decodes an engine's list of allocations, a JSON array. The error describes what is malformed.
tl::expected<std::vector<EngineAllocation>, std::string> decodeAllocations(const std::string &text);

/// Returns the JSON body of a request that reserves \a allocation.
std::string encodeReservation(const EngineAllocation &allocation);

} // namespace dotterel
