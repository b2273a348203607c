#include "coordination/allocation_sweeper.h"

#include "core/hashing.h"

namespace dotterel {

namespace {

/// Grace period after the time to live, because the owner's own release at the deadline may still
/// be in transit.
constexpr Duration ReleaseGracePeriod = std::chrono::milliseconds(500);

} // namespace

AllocationSweeper::AllocationSweeper(const Membership &membership)
    : membership(membership)
{}

std::vector<AllocationId>
AllocationSweeper::orphanedAllocations(const std::vector<EngineAllocation> &allocations) const
{
    std::vector<AllocationId> ids;
    for (const EngineAllocation &allocation : allocations) {
        const bool expired = allocation.age > allocation.timeToLive + ReleaseGracePeriod;
        const bool hostEnded =
                !this->membership.mayBeRunning(allocation.host, allocation.incarnation);
        if (expired || hostEnded)
            ids.push_back(allocation.id);
    }
    return ids;
}

std::vector<ServerId> AllocationSweeper::assignedServers(const std::vector<ServerId> &servers) const
{
    std::vector<std::string> liveHosts;
    for (const MemberRecord &member : this->membership.liveMembers())
        liveHosts.push_back(member.identity.host);
    std::vector<ServerId> assigned;
    for (const ServerId &server : servers) {
        if (rendezvousOwner(server, liveHosts) == 0)
            assigned.push_back(server);
    }
    return assigned;
}

} // namespace dotterel
