#include "coordination/member_table.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>

namespace dotterel {

namespace {

std::size_t bucketIndex(const std::string &name)
{
    return hash64(name) % MemberBuckets;
}

bool hasEnded(MemberState state)
{
    return state == MemberState::Dead || state == MemberState::Left;
}

std::uint64_t fingerprint(const MemberRecord &record)
{
    std::string bytes = record.identity.host;
    bytes.push_back('\0');
    bytes += toHex(record.identity.incarnation);
    bytes += toHex(record.counter);
    bytes.push_back(static_cast<char>('0' + static_cast<int>(record.state)));
    return hash64(bytes);
}

std::uint64_t fingerprint(const ServerNotice &notice)
{
    return hash64(notice.server + '\0' + toHex(notice.sequence) + (notice.draining ? "d" : "u"));
}

} // namespace

bool overrides(const MemberRecord &left, const MemberRecord &right)
{
    const auto sortKey = [](const MemberRecord &record) {
        return std::tuple(record.identity.incarnation, record.counter, record.state);
    };
    return sortKey(left) > sortKey(right);
}

bool overrides(const ServerNotice &left, const ServerNotice &right)
{
    const auto sortKey = [](const ServerNotice &notice) {
        return std::pair(notice.sequence, notice.draining);
    };
    return sortKey(left) > sortKey(right);
}

bool MemberTable::merge(const MemberRecord &record, TimePoint now)
{
    const auto known = this->members.find(record.identity.host);
    if (known != this->members.end() && !overrides(record, known->second.record))
        return false;
    this->members[record.identity.host] = {record, now};
    ++this->changes;
    return true;
}

bool MemberTable::merge(const ServerNotice &notice)
{
    const auto known = this->servers.find(notice.server);
    if (known != this->servers.end() && !overrides(notice, known->second))
        return false;
    this->servers[notice.server] = notice;
    ++this->changes;
    return true;
}

void MemberTable::setConfigurationVersion(const HostId &host, std::uint64_t version)
{
    const auto known = this->members.find(host);
    if (known != this->members.end())
        known->second.record.configurationVersion = version;
}

const MemberTable::Entry *MemberTable::find(const HostId &host) const
{
    const auto known = this->members.find(host);
    return known == this->members.end() ? nullptr : &known->second;
}

void MemberTable::shiftTimes(Duration gap)
{
    for (auto &[host, entry] : this->members)
        entry.since += gap;
}

void MemberTable::forgetEndedBefore(TimePoint time)
{
    for (auto row = this->members.begin(); row != this->members.end();) {
        const bool expired = hasEnded(row->second.record.state) && row->second.since < time;
        row = expired ? this->members.erase(row) : std::next(row);
    }
}

BucketDigests MemberTable::digests(const MemberRecord &self) const
{
    BucketDigests digests{};
    digests.at(bucketIndex(self.identity.host)) ^= fingerprint(self);
    // Ended members are left out because hosts remove them at different times.
    for (const auto &[host, entry] : this->members) {
        if (!hasEnded(entry.record.state))
            digests.at(bucketIndex(host)) ^= fingerprint(entry.record);
    }
    for (const auto &[server, notice] : this->servers)
        digests.at(bucketIndex(server)) ^= fingerprint(notice);
    return digests;
}

MemberUpdate MemberTable::difference(const MemberRecord &self,
                                     const std::vector<std::uint64_t> &theirs) const
{
    MemberUpdate update;
    const BucketDigests own = this->digests(self);
    const auto bucketDiffers = [&own, &theirs](const std::string &name) {
        const std::size_t bucket = bucketIndex(name);
        return bucket >= theirs.size() || theirs[bucket] != own.at(bucket);
    };
    if (bucketDiffers(self.identity.host))
        update.members.push_back(self);
    for (const auto &[host, entry] : this->members) {
        if (bucketDiffers(host))
            update.members.push_back(entry.record);
    }
    for (const auto &[server, notice] : this->servers) {
        if (bucketDiffers(server))
            update.notices.push_back(notice);
    }
    return update;
}

MemberUpdate newerThan(const MemberUpdate &theirs, const MemberUpdate &own)
{
    MemberUpdate newer;
    for (const MemberRecord &record : own.members) {
        const auto isUpToDate = [&record](const MemberRecord &other) {
            return other.identity.host == record.identity.host && !overrides(record, other);
        };
        if (std::none_of(theirs.members.begin(), theirs.members.end(), isUpToDate))
            newer.members.push_back(record);
    }
    for (const ServerNotice &notice : own.notices) {
        const auto isUpToDate = [&notice](const ServerNotice &other) {
            return other.server == notice.server && !overrides(notice, other);
        };
        if (std::none_of(theirs.notices.begin(), theirs.notices.end(), isUpToDate))
            newer.notices.push_back(notice);
    }
    return newer;
}

std::uint64_t combined(const BucketDigests &digests)
{
    std::uint64_t result = 0;
    for (const std::uint64_t digest : digests)
        result = result * 31 + digest;
    return result;
}

} // namespace dotterel
