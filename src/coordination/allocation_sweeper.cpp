#include "coordination/allocation_sweeper.h"

#include "core/hashing.h"

namespace dotterel {

namespace {

/// The owner's own release of its memory at the deadline may still be on its way for this long.
constexpr Duration ReleaseMargin = std::chrono::milliseconds(500);

} // namespace

AllocationSweeper::AllocationSweeper(const Membership &membership)
    : membership(membership)
{}

std::vector<AllocationId>
AllocationSweeper::ownerless(const std::vector<EngineAllocation> &allocations) const
{
    std::vector<AllocationId> ids;
    for (const EngineAllocation &allocation : allocations) {
        const bool expired = allocation.age > allocation.timeToLive + ReleaseMargin;
        const bool ownerEnded = !this->membership.mayRun(allocation.host, allocation.incarnation);
        if (expired || ownerEnded)
            ids.push_back(allocation.id);
    }
    return ids;
}

std::vector<ServerId> AllocationSweeper::ownServers(const std::vector<ServerId> &servers) const
{
    std::vector<std::string> hosts;
    for (const MemberRecord &member : this->membership.live())
        hosts.push_back(member.identity.host);
    std::vector<ServerId> own;
    for (const ServerId &server : servers) {
        if (rendezvousOwner(server, hosts) == 0)
            own.push_back(server);
    }
    return own;
}

} // namespace dotterel
