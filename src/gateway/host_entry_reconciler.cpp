#include "gateway/host_entry_reconciler.h"

#include <algorithm>

namespace dotterel {

namespace {

/// An entry is stale when its host has not been live for this long. The timeout is well above the
/// longest restart or partition of a single host that operators plan for.
constexpr Duration StaleEntryTimeout = std::chrono::seconds(60);

} // namespace

HostEntryReconciler::HostEntryReconciler(const HostIdentity &self)
    : self(self)
{}

bool HostEntryReconciler::isResponsibleFor(const std::string &failureDomain,
                                           const std::vector<MemberRecord> &live) const
{
    if (failureDomain == this->self.failureDomain)
        return true;
    // No live member of that failure domain is left to reconcile its entries.
    return std::none_of(live.begin(), live.end(), [&failureDomain](const MemberRecord &member) {
        return member.identity.failureDomain == failureDomain;
    });
}

HostEntryChanges HostEntryReconciler::reconcile(const std::vector<HostListEntry> &listed,
                                                const std::vector<MemberRecord> &live,
                                                TimePoint now)
{
    std::set<HostId> liveHosts;
    for (const MemberRecord &member : live)
        liveHosts.insert(member.identity.host);
    HostEntryChanges changes;
    std::set<HostId> listedHosts;
    std::map<HostId, TimePoint> nowAbsent;
    for (const HostListEntry &entry : listed) {
        listedHosts.insert(entry.id);
        if (liveHosts.count(entry.id) > 0)
            continue;
        const auto known = this->absentSince.find(entry.id);
        nowAbsent[entry.id] = known == this->absentSince.end() ? now : known->second;
    }
    this->absentSince = std::move(nowAbsent);
    // A partitioned host sees few live members and must not remove the entries of the others.
    const bool seesMajority = liveHosts.size() * 2 > listed.size();
    for (const HostListEntry &entry : listed) {
        const auto known = this->absentSince.find(entry.id);
        if (known != this->absentSince.end() && seesMajority
            && now - known->second >= StaleEntryTimeout
            && this->isResponsibleFor(entry.failureDomain, live))
            changes.stale.push_back(entry.id);
    }
    std::set<HostId> nowMissing;
    for (const MemberRecord &member : live) {
        const HostId &host = member.identity.host;
        if (listedHosts.count(host) > 0 || member.leaving
            || member.identity.failureDomain != this->self.failureDomain)
            continue;
        // The list may be stale, so that an entry has to be missing from two lists in a row.
        if (this->missingInPreviousList.count(host) > 0)
            changes.missing.push_back(member);
        nowMissing.insert(host);
    }
    this->missingInPreviousList = std::move(nowMissing);
    return changes;
}

} // namespace dotterel
