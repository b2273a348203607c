#pragma once

#include "core/time.h"
#include "protocol/peer_message.h"

#include <array>
#include <map>
#include <vector>

namespace dotterel {

/// Number of parts in which two tables are compared.
constexpr std::size_t MemberBuckets = 16;

using BucketDigests = std::array<std::uint64_t, MemberBuckets>;

/// Returns true if \a left overrides \a right, both of the same member.
bool overrides(const MemberRecord &left, const MemberRecord &right);

/// Returns true if \a left overrides \a right, both of the same server.
bool overrides(const ServerNotice &left, const ServerNotice &right);

/// The latest record of each member but the host itself, and the latest notice of each backend
/// server. Tables that took in the same records are equal, in whatever order they came. Pure.
class MemberTable
{
public:
    struct Entry
    {
        MemberRecord record;
        TimePoint since; ///< When the record was taken in.
    };

    /// Takes in \a record if it overrides what is known; returns whether it did.
    bool merge(const MemberRecord &record, TimePoint now);

    /// Takes in \a notice if it overrides what is known; returns whether it did.
    bool merge(const ServerNotice &notice);

    /// Notes which configuration \a host has in force; that is no news for others.
    void setConfigurationVersion(const HostId &host, std::uint64_t version);

    /// Returns what is known of \a host, or null.
    const Entry *find(const HostId &host) const;

    /// Moves every time forward by \a gap, in which this process did not run.
    void shiftTimes(Duration gap);

    /// Forgets members that ended before \a time.
    void forgetEndedBefore(TimePoint time);

    const std::map<HostId, Entry> &entries() const { return this->members; }
    const std::map<ServerId, ServerNotice> &notices() const { return this->servers; }

    /// Returns a number that changes with every change of the table.
    std::uint64_t revision() const { return this->changes; }

    /// Returns digests of the live members, \a self among them, and of the notices.
    BucketDigests digests(const MemberRecord &self) const;

    /// Returns the records and notices of those buckets that differ between \a self's table and
    /// \a theirs.
    MemberUpdate difference(const MemberRecord &self,
                            const std::vector<std::uint64_t> &theirs) const;

private:
    std::map<HostId, Entry> members;
    std::map<ServerId, ServerNotice> servers;
    std::uint64_t changes = 1;
};

/// Returns the part of \a own that \a theirs lacks or holds in an older state.
MemberUpdate newerThan(const MemberUpdate &theirs, const MemberUpdate &own);

/// Returns one number for \a digests.
std::uint64_t combined(const BucketDigests &digests);

} // namespace dotterel
