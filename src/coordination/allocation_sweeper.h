#pragma once

#include "coordination/membership.h"
#include "protocol/engine_memory.h"

#include <vector>

namespace dotterel {

/// Finds orphaned allocations of an engine: their time to live has expired by the engine's own
/// clock, or the incarnation of the host that requested them has ended. Several hosts may release
/// the same allocation concurrently or repeatedly: a release names it by an id that is never
/// reused, so it needs no lease and the engine does not have to check the sender. Performs no I/O
/// and reads no clock.
class AllocationSweeper
{
public:
    explicit AllocationSweeper(const Membership &membership);

    /// Returns the ids of those of \a allocations that have to be released.
    std::vector<AllocationId>
    orphanedAllocations(const std::vector<EngineAllocation> &allocations) const;

    /// Returns those of \a servers that this host is responsible for sweeping. Each server is
    /// assigned to one live host by rendezvous hashing.
    std::vector<ServerId> assignedServers(const std::vector<ServerId> &servers) const;

private:
    const Membership &membership;
};

} // namespace dotterel
