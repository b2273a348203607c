#include "gateway/host_entry_keeper.h"

#include <algorithm>

namespace dotterel {

namespace {

/// An entry is stale when its host has not been live for this long. Well above the longest restart
/// or partition of a single host that operators plan for.
constexpr Duration StaleAfter = std::chrono::seconds(60);

} // namespace

HostEntryKeeper::HostEntryKeeper(const HostIdentity &self)
    : self(self)
{}

bool HostEntryKeeper::isMine(const std::string &failureDomain,
                             const std::vector<MemberRecord> &live) const
{
    if (failureDomain == this->self.failureDomain)
        return true;
    // No live member of that failure domain is left to reconcile its entries.
    return std::none_of(live.begin(), live.end(), [&failureDomain](const MemberRecord &member) {
        return member.identity.failureDomain == failureDomain;
    });
}

HostEntryChanges HostEntryKeeper::onListed(const std::vector<ListedHost> &listed,
                                           const std::vector<MemberRecord> &live, TimePoint now)
{
    std::set<HostId> living;
    for (const MemberRecord &member : live)
        living.insert(member.identity.host);
    HostEntryChanges changes;
    std::set<HostId> present;
    std::map<HostId, TimePoint> absent;
    for (const ListedHost &entry : listed) {
        present.insert(entry.id);
        if (living.count(entry.id) > 0)
            continue;
        const auto known = this->absentSince.find(entry.id);
        absent[entry.id] = known == this->absentSince.end() ? now : known->second;
    }
    this->absentSince = std::move(absent);
    // A partitioned host sees few live members and must not remove the entries of the others.
    const bool seesMost = living.size() * 2 > listed.size();
    for (const ListedHost &entry : listed) {
        const auto known = this->absentSince.find(entry.id);
        if (known != this->absentSince.end() && seesMost && now - known->second >= StaleAfter
            && this->isMine(entry.failureDomain, live))
            changes.stale.push_back(entry.id);
    }
    std::set<HostId> missing;
    for (const MemberRecord &member : live) {
        const HostId &host = member.identity.host;
        if (present.count(host) > 0 || member.leaving
            || member.identity.failureDomain != this->self.failureDomain)
            continue;
        // The list may be stale, so that an entry has to be missing from two lists in a row.
        if (this->missingBefore.count(host) > 0)
            changes.missing.push_back(member);
        missing.insert(host);
    }
    this->missingBefore = std::move(missing);
    return changes;
}

} // namespace dotterel
