#pragma once

#include "core/time.h"
#include "protocol/peer_message.h"

#include <array>
#include <map>
#include <vector>

namespace dotterel {

/// Number of hash buckets by which the tables of two hosts are compared.
constexpr std::size_t MemberBucketCount = 16;

using BucketDigests = std::array<std::uint64_t, MemberBucketCount>;

/// Returns true if \a left is newer than \a right. Both are records of the same member.
bool supersedes(const MemberRecord &left, const MemberRecord &right);

/// Returns true if \a left is newer than \a right. Both are notices of the same server.
bool supersedes(const ServerDrainNotice &left, const ServerDrainNotice &right);

/// The latest record of each member except the host itself, and the latest notice of each backend
/// server. Merging is commutative and idempotent: tables that received the same records are equal,
/// regardless of the order. Performs no I/O and reads no clock.
class MemberTable
{
public:
    struct Entry
    {
        MemberRecord record;
        TimePoint mergedAt; ///< When the record was merged.
    };

    /// Stores \a record if it is newer than the known one. Returns true if it was stored.
    bool merge(const MemberRecord &record, TimePoint now);

    /// Stores \a notice if it is newer than the known one. Returns true if it was stored.
    bool merge(const ServerDrainNotice &notice);

    /// Sets the active configuration version of \a host. This is not propagated to other hosts and
    /// does not change revision().
    void setConfigurationVersion(const HostId &host, std::uint64_t version);

    /// Returns the entry of \a host, or null if it is not known.
    const Entry *find(const HostId &host) const;

    /// Moves all times forward by \a gap, a period in which this process was suspended.
    void shiftTimes(Duration gap);

    /// Removes members that have been dead or gone since before \a time.
    void removeEndedBefore(TimePoint time);

    const std::map<HostId, Entry> &entries() const { return this->memberEntries; }
    const std::map<ServerId, ServerDrainNotice> &notices() const { return this->serverNotices; }

    /// Returns a counter that is incremented by every merge that changes the table.
    std::uint64_t revision() const { return this->revisionNumber; }

    /// Returns a digest of each bucket of live members, including \a self, and notices.
    BucketDigests bucketDigests(const MemberRecord &self) const;

    /// Returns the records and notices of the buckets whose digest differs from that of the peer in
    /// \a theirs. \a self is treated as a member of this table.
    MemberUpdate differingRecords(const MemberRecord &self,
                                  const std::vector<std::uint64_t> &theirs) const;

private:
    std::map<HostId, Entry> memberEntries;
    std::map<ServerId, ServerDrainNotice> serverNotices;
    std::uint64_t revisionNumber = 1;
};

/// Returns the records and notices of \a own that are absent or older in \a theirs.
MemberUpdate newerRecords(const MemberUpdate &theirs, const MemberUpdate &own);

/// Combines \a digests into a single digest.
std::uint64_t combineDigests(const BucketDigests &digests);

} // namespace dotterel
