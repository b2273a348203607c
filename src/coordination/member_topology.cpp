#include "coordination/member_topology.h"

#include "core/hashing.h"

#include <algorithm>
#include <map>

namespace dotterel {

namespace {

constexpr std::size_t OwnDomainLinks = 2;

using Candidates = std::vector<const MemberRecord *>;

/// Sorts \a candidates by the weight that \a owner gives them.
void rank(Candidates &candidates, const std::string &owner)
{
    std::vector<std::pair<std::uint64_t, const MemberRecord *>> weighed;
    weighed.reserve(candidates.size());
    for (const MemberRecord *candidate : candidates)
        weighed.emplace_back(hash64(owner + '\0' + candidate->identity.host), candidate);
    std::sort(weighed.begin(), weighed.end());
    std::transform(weighed.begin(), weighed.end(), candidates.begin(),
                   [](const auto &row) { return row.second; });
}

/// Returns the position in \a candidates of the host that follows \a self on the ring of hashes.
std::size_t successor(const HostId &self, const Candidates &candidates)
{
    const std::uint64_t own = hash64(self);
    std::size_t best = 0;
    std::uint64_t bestDistance = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // Distances wrap around, as unsigned numbers do.
        const std::uint64_t distance = hash64(candidates[i]->identity.host) - own;
        if (i == 0 || distance < bestDistance) {
            best = i;
            bestDistance = distance;
        }
    }
    return best;
}

void take(Candidates &from, std::size_t position, std::vector<MemberRecord> &chosen)
{
    chosen.push_back(*from[position]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(position));
}

/// Links \a self to those that follow it on the ring of all \a members, so that each pair has one
/// link. News of dispatches then reaches every host at once.
std::vector<MemberRecord> linkAll(const HostIdentity &self,
                                  const std::vector<MemberRecord> &members)
{
    std::map<std::uint64_t, const MemberRecord *> ring;
    for (const MemberRecord &member : members)
        ring[hash64(member.identity.host)] = &member;
    const std::uint64_t own = hash64(self.host);
    std::vector<MemberRecord> chosen;
    auto next = ring.upper_bound(own);
    for (std::size_t distance = 1; 2 * distance <= ring.size() && ring.size() > 1; ++distance) {
        if (next == ring.end())
            next = ring.begin();
        // Of two opposite members the one with the lower hash opens the link.
        const bool opposite = 2 * distance == ring.size();
        if (!opposite || own < next->first)
            chosen.push_back(*next->second);
        ++next;
    }
    return chosen;
}

} // namespace

std::vector<MemberRecord> chooseLinks(const HostIdentity &self,
                                      const std::vector<MemberRecord> &members)
{
    if (members.size() <= 2 * OutgoingLinks + 1)
        return linkAll(self, members);
    Candidates near;
    Candidates far;
    for (const MemberRecord &member : members) {
        if (member.identity.host == self.host)
            continue;
        const bool same = member.identity.failureDomain == self.failureDomain;
        (same ? near : far).push_back(&member);
    }
    std::vector<MemberRecord> chosen;
    if (!near.empty())
        take(near, successor(self.host, near), chosen);
    rank(near, self.host);
    rank(far, self.host);
    if (!near.empty() && chosen.size() < OwnDomainLinks)
        take(near, 0, chosen);
    std::string lastDomain;
    while (chosen.size() < OutgoingLinks && !far.empty()) {
        const auto other = std::find_if(far.begin(), far.end(), [&](const MemberRecord *member) {
            return member->identity.failureDomain != lastDomain;
        });
        const std::size_t position =
                other == far.end() ? 0 : static_cast<std::size_t>(other - far.begin());
        lastDomain = far[position]->identity.failureDomain;
        take(far, position, chosen);
    }
    while (chosen.size() < OutgoingLinks && !near.empty())
        take(near, 0, chosen);
    return chosen;
}

bool hasDuty(const HostIdentity &self, const std::vector<MemberRecord> &members,
             const std::string &duty, std::size_t count)
{
    const std::uint64_t own = hash64(self.host + '\0' + duty);
    std::size_t before = 0;
    for (const MemberRecord &member : members) {
        const bool rival = member.identity.failureDomain == self.failureDomain
                           && member.identity.host != self.host;
        if (rival && hash64(member.identity.host + '\0' + duty) > own)
            ++before;
    }
    return before < count;
}

} // namespace dotterel
