#pragma once

#include "core/time.h"
#include "protocol/peer_message.h"

#include <array>
#include <map>
#include <vector>

namespace dotterel {

/// Number of hash buckets by which the tables of two hosts are compared.
constexpr std::size_t MemberBuckets = 16;

using BucketDigests = std::array<std::uint64_t, MemberBuckets>;

/// Returns true if \a left is newer than \a right. Both are records of the same member.
bool overrides(const MemberRecord &left, const MemberRecord &right);

/// Returns true if \a left is newer than \a right. Both are notices of the same server.
bool overrides(const ServerNotice &left, const ServerNotice &right);

/// The latest record of each member except the host itself, and the latest notice of each backend
/// server. Merging is commutative and idempotent: tables that received the same records are equal,
/// regardless of the order. Performs no I/O.
class MemberTable
{
public:
    struct Entry
    {
        MemberRecord record;
        TimePoint since; ///< When the record was merged.
    };

    /// Stores \a record if it is newer than the known one. Returns true if it was stored.
    bool merge(const MemberRecord &record, TimePoint now);

    /// Stores \a notice if it is newer than the known one. Returns true if it was stored.
    bool merge(const ServerNotice &notice);

    /// Sets the active configuration version of \a host. This is not propagated to other hosts and
    /// does not change revision().
    void setConfigurationVersion(const HostId &host, std::uint64_t version);

    /// Returns the entry of \a host, or null if it is not known.
    const Entry *find(const HostId &host) const;

    /// Moves all times forward by \a gap, a period in which this process was suspended.
    void shiftTimes(Duration gap);

    /// Removes members that have been dead or gone since before \a time.
    void forgetEndedBefore(TimePoint time);

    const std::map<HostId, Entry> &entries() const { return this->members; }
    const std::map<ServerId, ServerNotice> &notices() const { return this->servers; }

    /// Returns a counter that is incremented by every merge that changes the table.
    std::uint64_t revision() const { return this->changes; }

    /// Returns a digest of each bucket of live members, including \a self, and notices.
    BucketDigests digests(const MemberRecord &self) const;

    /// Returns the records and notices of the buckets whose digest differs from that of the peer in
    /// \a theirs. \a self is treated as a member of this table.
    MemberUpdate difference(const MemberRecord &self,
                            const std::vector<std::uint64_t> &theirs) const;

private:
    std::map<HostId, Entry> members;
    std::map<ServerId, ServerNotice> servers;
    std::uint64_t changes = 1;
};

/// Returns the records and notices of \a own that are absent or older in \a theirs.
MemberUpdate newerThan(const MemberUpdate &theirs, const MemberUpdate &own);

/// Combines \a digests into a single digest.
std::uint64_t combined(const BucketDigests &digests);

} // namespace dotterel
