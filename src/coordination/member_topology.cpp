#include "coordination/member_topology.h"

#include "core/hashing.h"

#include <algorithm>
#include <map>

namespace dotterel {

namespace {

constexpr std::size_t LinksWithinDomain = 2;

using Candidates = std::vector<const MemberRecord *>;

/// Sorts \a candidates by their rendezvous hash with \a owner.
void sortByHash(Candidates &candidates, const std::string &owner)
{
    std::vector<std::pair<std::uint64_t, const MemberRecord *>> hashedCandidates;
    hashedCandidates.reserve(candidates.size());
    for (const MemberRecord *candidate : candidates)
        hashedCandidates.emplace_back(hash64(owner + '\0' + candidate->identity.host), candidate);
    std::sort(hashedCandidates.begin(), hashedCandidates.end());
    std::transform(hashedCandidates.begin(), hashedCandidates.end(), candidates.begin(),
                   [](const auto &entry) { return entry.second; });
}

/// Returns the index in \a candidates of the host that follows \a self on the hash ring.
std::size_t findSuccessor(const HostId &self, const Candidates &candidates)
{
    const std::uint64_t ownHash = hash64(self);
    std::size_t successorIndex = 0;
    std::uint64_t shortestDistance = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // Unsigned subtraction wraps around at the end of the ring.
        const std::uint64_t distance = hash64(candidates[i]->identity.host) - ownHash;
        if (i == 0 || distance < shortestDistance) {
            successorIndex = i;
            shortestDistance = distance;
        }
    }
    return successorIndex;
}

void moveToTargets(Candidates &from, std::size_t position, std::vector<MemberRecord> &targets)
{
    targets.push_back(*from[position]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(position));
}

/// Selects the members that follow \a self on the hash ring of all \a members, so that each pair of
/// members has exactly one link. Dispatch updates then reach every host directly.
std::vector<MemberRecord> fullMeshTargets(const HostIdentity &self,
                                          const std::vector<MemberRecord> &members)
{
    std::map<std::uint64_t, const MemberRecord *> ring;
    for (const MemberRecord &member : members)
        ring[hash64(member.identity.host)] = &member;
    const std::uint64_t ownHash = hash64(self.host);
    std::vector<MemberRecord> targets;
    auto next = ring.upper_bound(ownHash);
    for (std::size_t distance = 1; 2 * distance <= ring.size() && ring.size() > 1; ++distance) {
        if (next == ring.end())
            next = ring.begin();
        // Between two members that are opposite on the ring, the one with the lower hash opens the
        // link.
        const bool opposite = 2 * distance == ring.size();
        if (!opposite || ownHash < next->first)
            targets.push_back(*next->second);
        ++next;
    }
    return targets;
}

} // namespace

std::vector<MemberRecord> selectLinkTargets(const HostIdentity &self,
                                            const std::vector<MemberRecord> &members)
{
    if (members.size() <= 2 * MaxOutgoingLinks + 1)
        return fullMeshTargets(self, members);
    Candidates sameDomain;
    Candidates otherDomains;
    for (const MemberRecord &member : members) {
        if (member.identity.host == self.host)
            continue;
        const bool isSameDomain = member.identity.failureDomain == self.failureDomain;
        (isSameDomain ? sameDomain : otherDomains).push_back(&member);
    }
    std::vector<MemberRecord> targets;
    if (!sameDomain.empty())
        moveToTargets(sameDomain, findSuccessor(self.host, sameDomain), targets);
    sortByHash(sameDomain, self.host);
    sortByHash(otherDomains, self.host);
    if (!sameDomain.empty() && targets.size() < LinksWithinDomain)
        moveToTargets(sameDomain, 0, targets);
    std::string previousDomain;
    while (targets.size() < MaxOutgoingLinks && !otherDomains.empty()) {
        const auto nextDomainMember = std::find_if(
                otherDomains.begin(), otherDomains.end(), [&](const MemberRecord *member) {
                    return member->identity.failureDomain != previousDomain;
                });
        const std::size_t position =
                nextDomainMember == otherDomains.end()
                        ? 0
                        : static_cast<std::size_t>(nextDomainMember - otherDomains.begin());
        previousDomain = otherDomains[position]->identity.failureDomain;
        moveToTargets(otherDomains, position, targets);
    }
    while (targets.size() < MaxOutgoingLinks && !sameDomain.empty())
        moveToTargets(sameDomain, 0, targets);
    return targets;
}

std::size_t taskRank(const HostIdentity &self, const std::vector<MemberRecord> &members,
                     const std::string &task)
{
    const std::uint64_t ownHash = hash64(self.host + '\0' + task);
    std::size_t higherRanked = 0;
    for (const MemberRecord &member : members) {
        const bool isCompetitor = member.identity.failureDomain == self.failureDomain
                                  && member.identity.host != self.host;
        if (isCompetitor && hash64(member.identity.host + '\0' + task) > ownHash)
            ++higherRanked;
    }
    return higherRanked;
}

bool isTaskAssigned(const HostIdentity &self, const std::vector<MemberRecord> &members,
                    const std::string &task, std::size_t count)
{
    return taskRank(self, members, task) < count;
}

} // namespace dotterel
