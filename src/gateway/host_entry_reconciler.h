#pragma once

#include "protocol/peer_message.h"
#include "state/object_store.h"

#include <map>
#include <set>
#include <vector>

namespace dotterel {

/// Corrections to the list of entry hosts.
struct HostEntryChanges
{
    std::vector<HostId> stale;         ///< Entries of hosts that are gone, to be removed.
    std::vector<MemberRecord> missing; ///< Live hosts without an entry, to be written again.
};

/// Reconciles the platform's list of entry hosts with the live members of one failure domain. A
/// host that is replaced under another name leaves an entry that nothing else removes. Performs no
/// I/O.
class HostEntryReconciler
{
public:
    explicit HostEntryReconciler(const HostIdentity &self);

    /// Returns the changes that make the entries \a listed match the members \a live.
    HostEntryChanges reconcile(const std::vector<HostListEntry> &listed,
                               const std::vector<MemberRecord> &live, TimePoint now);

private:
    bool isResponsibleFor(const std::string &failureDomain,
                          const std::vector<MemberRecord> &live) const;

    HostIdentity self;
    std::map<HostId, TimePoint> absentSince; ///< Listed hosts that are not live.
    std::set<HostId> missingInPreviousList;  ///< Live hosts without an entry in the previous list.
};

} // namespace dotterel
