#include "coordination/member_table.h"

#include "core/hashing.h"

#include <algorithm>
#include <tuple>

namespace dotterel {

namespace {

std::size_t bucketIndex(const std::string &name)
{
    return hash64(name) % MemberBucketCount;
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
    bytes += toHex(record.refutationCounter);
    bytes.push_back(static_cast<char>('0' + static_cast<int>(record.state)));
    return hash64(bytes);
}

std::uint64_t fingerprint(const ServerDrainNotice &notice)
{
    return hash64(notice.server + '\0' + toHex(notice.sequence) + (notice.draining ? "d" : "u"));
}

} // namespace

bool supersedes(const MemberRecord &left, const MemberRecord &right)
{
    const auto sortKey = [](const MemberRecord &record) {
        return std::tuple(record.identity.incarnation, record.refutationCounter, record.state);
    };
    return sortKey(left) > sortKey(right);
}

bool supersedes(const ServerDrainNotice &left, const ServerDrainNotice &right)
{
    const auto sortKey = [](const ServerDrainNotice &notice) {
        return std::pair(notice.sequence, notice.draining);
    };
    return sortKey(left) > sortKey(right);
}

bool MemberTable::merge(const MemberRecord &record, TimePoint now)
{
    const auto known = this->memberEntries.find(record.identity.host);
    if (known != this->memberEntries.end() && !supersedes(record, known->second.record))
        return false;
    this->memberEntries[record.identity.host] = {record, now};
    ++this->revisionNumber;
    return true;
}

bool MemberTable::merge(const ServerDrainNotice &notice)
{
    const auto known = this->serverNotices.find(notice.server);
    if (known != this->serverNotices.end() && !supersedes(notice, known->second))
        return false;
    this->serverNotices[notice.server] = notice;
    ++this->revisionNumber;
    return true;
}

void MemberTable::setConfigurationVersion(const HostId &host, std::uint64_t version)
{
    const auto known = this->memberEntries.find(host);
    if (known != this->memberEntries.end())
        known->second.record.configurationVersion = version;
}

const MemberTable::Entry *MemberTable::find(const HostId &host) const
{
    const auto known = this->memberEntries.find(host);
    return known == this->memberEntries.end() ? nullptr : &known->second;
}

void MemberTable::shiftTimes(Duration gap)
{
    for (auto &[host, entry] : this->memberEntries)
        entry.mergedAt += gap;
}

void MemberTable::removeEndedBefore(TimePoint time)
{
    for (auto it = this->memberEntries.begin(); it != this->memberEntries.end();) {
        const bool expired = hasEnded(it->second.record.state) && it->second.mergedAt < time;
        it = expired ? this->memberEntries.erase(it) : std::next(it);
    }
}

BucketDigests MemberTable::bucketDigests(const MemberRecord &self) const
{
    BucketDigests digests{};
    digests.at(bucketIndex(self.identity.host)) ^= fingerprint(self);
    // Ended members are left out because hosts remove them at different times.
    for (const auto &[host, entry] : this->memberEntries) {
        if (!hasEnded(entry.record.state))
            digests.at(bucketIndex(host)) ^= fingerprint(entry.record);
    }
    for (const auto &[server, notice] : this->serverNotices)
        digests.at(bucketIndex(server)) ^= fingerprint(notice);
    return digests;
}

MemberUpdate MemberTable::differingRecords(const MemberRecord &self,
                                           const std::vector<std::uint64_t> &theirs) const
{
    MemberUpdate update;
    const BucketDigests ownDigests = this->bucketDigests(self);
    const auto bucketDiffers = [&ownDigests, &theirs](const std::string &name) {
        const std::size_t bucket = bucketIndex(name);
        return bucket >= theirs.size() || theirs[bucket] != ownDigests.at(bucket);
    };
    if (bucketDiffers(self.identity.host))
        update.members.push_back(self);
    for (const auto &[host, entry] : this->memberEntries) {
        if (bucketDiffers(host))
            update.members.push_back(entry.record);
    }
    for (const auto &[server, notice] : this->serverNotices) {
        if (bucketDiffers(server))
            update.notices.push_back(notice);
    }
    return update;
}

MemberUpdate newerRecords(const MemberUpdate &theirs, const MemberUpdate &own)
{
    MemberUpdate newer;
    for (const MemberRecord &record : own.members) {
        const auto isUpToDate = [&record](const MemberRecord &other) {
            return other.identity.host == record.identity.host && !supersedes(record, other);
        };
        if (std::none_of(theirs.members.begin(), theirs.members.end(), isUpToDate))
            newer.members.push_back(record);
    }
    for (const ServerDrainNotice &notice : own.notices) {
        const auto isUpToDate = [&notice](const ServerDrainNotice &other) {
            return other.server == notice.server && !supersedes(notice, other);
        };
        if (std::none_of(theirs.notices.begin(), theirs.notices.end(), isUpToDate))
            newer.notices.push_back(notice);
    }
    return newer;
}

std::uint64_t combineDigests(const BucketDigests &digests)
{
    std::uint64_t result = 0;
    for (const std::uint64_t digest : digests)
        result = result * 31 + digest;
    return result;
}

} // namespace dotterel
