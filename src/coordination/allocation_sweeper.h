#pragma once

#include "coordination/membership.h"
#include "protocol/engine_memory.h"

#include <vector>

namespace dotterel {

/// Decides which allocations of an engine have no owner any more: their time to live has passed by
/// the engine's own clock, or the life of the host that asked for them has ended. Several hosts may
/// decide at once and twice: a release names one allocation by an id that is never used again, so
/// it needs no lease, and an engine need not check who sends it. Pure.
class AllocationSweeper
{
public:
    explicit AllocationSweeper(const Membership &membership);

    /// Returns the ids of \a allocations that are to be released.
    std::vector<AllocationId> ownerless(const std::vector<EngineAllocation> &allocations) const;

    /// Returns those of \a servers that this host sweeps.
    std::vector<ServerId> ownServers(const std::vector<ServerId> &servers) const;

private:
    const Membership &membership;
};

} // namespace dotterel
