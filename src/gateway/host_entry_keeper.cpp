#include "gateway/host_entry_keeper.h"

#include <algorithm>

namespace dotterel {

namespace {

/// An entry is stale when its host was not heard of for as long: well over any restart or
/// partition of a single host that operators plan with.
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
    // Nobody is left there to keep its entries.
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
    // A host that is cut off hears of few others and must not judge them.
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
        // A list may be older than an entry.
        if (this->missingBefore.count(host) > 0)
            changes.missing.push_back(member);
        missing.insert(host);
    }
    this->missingBefore = std::move(missing);
    return changes;
}

} // namespace dotterel
