#pragma once

#include "protocol/peer_message.h"
#include "state/object_store.h"

#include <map>
#include <set>
#include <vector>

namespace dotterel {

/// What is to be done about the list of entry hosts.
struct HostEntryChanges
{
    std::vector<HostId> stale;         ///< Entries of hosts that are gone, to be removed.
    std::vector<MemberRecord> missing; ///< Live hosts without an entry, to be written again.
};

/// Keeps the platform's list of entry hosts in step with the hosts that live, for those of one
/// failure domain. Hosts that are replaced under another name leave entries that nobody else
/// removes. Pure.
class HostEntryKeeper
{
public:
    explicit HostEntryKeeper(const HostIdentity &self);

    /// Compares the entries \a listed with the hosts \a live, as membership knows them.
    HostEntryChanges onListed(const std::vector<ListedHost> &listed,
                              const std::vector<MemberRecord> &live, TimePoint now);

private:
    bool isMine(const std::string &failureDomain, const std::vector<MemberRecord> &live) const;

    HostIdentity self;
    std::map<HostId, TimePoint> absentSince; ///< Listed, and not heard of.
    std::set<HostId> missingBefore;          ///< Live, and not on the list read before.
};

} // namespace dotterel
