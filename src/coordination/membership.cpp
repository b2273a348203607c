#include "coordination/membership.h"

#include <algorithm>

namespace dotterel {

namespace {

/// A member is suspected after this many heartbeat intervals without news.
constexpr int MissedHeartbeats = 8;

bool isNewer(const MemberRecord &left, const MemberRecord &right)
{
    if (left.identity.incarnation != right.identity.incarnation)
        return left.identity.incarnation > right.identity.incarnation;
    return left.heartbeat > right.heartbeat;
}

} // namespace

Membership::Membership(HostIdentity self, Duration heartbeatInterval, Metrics &metrics,
                       EventLog &log)
    : self(std::move(self))
    , suspectAfter(heartbeatInterval * MissedHeartbeats)
    , metrics(metrics)
    , log(log)
{}

Heartbeat Membership::beat(std::uint64_t configurationVersion,
                           const std::vector<ServerId> &draining)
{
    this->ownConfigurationVersion = configurationVersion;
    Heartbeat heartbeat;
    heartbeat.sender = this->self;
    heartbeat.members.push_back({this->self, ++this->counter, configurationVersion, this->leaving});
    for (const auto &[host, entry] : this->members) {
        if (!entry.suspected)
            heartbeat.members.push_back(entry.record);
    }
    heartbeat.draining = draining;
    return heartbeat;
}

void Membership::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    for (const MemberRecord &record : heartbeat.members)
        this->merge(record, now);
    this->metrics.set(Gauge::LiveMembers, static_cast<double>(this->live().size()));
}

void Membership::onTimer(TimePoint now)
{
    for (auto &[host, entry] : this->members) {
        if (entry.suspected || now - entry.heard < this->suspectAfter)
            continue;
        entry.suspected = true;
        this->log.write(Event::MemberSuspected, {{"member", host}});
    }
    this->metrics.set(Gauge::LiveMembers, static_cast<double>(this->live().size()));
}

std::vector<MemberRecord> Membership::live() const
{
    std::vector<MemberRecord> records = {
            {this->self, this->counter, this->ownConfigurationVersion, this->leaving}};
    for (const auto &[host, entry] : this->members) {
        if (!entry.suspected)
            records.push_back(entry.record);
    }
    return records;
}

std::uint64_t Membership::highestConfigurationVersion() const
{
    std::uint64_t highest = 0;
    for (const auto &[host, entry] : this->members)
        highest = std::max(highest, entry.record.configurationVersion);
    return highest;
}

void Membership::merge(const MemberRecord &record, TimePoint now)
{
    if (record.identity.host == this->self.host)
        return;
    const auto known = this->members.find(record.identity.host);
    if (known != this->members.end() && !isNewer(record, known->second.record))
        return;
    const bool joined = known == this->members.end() || known->second.suspected
                        || known->second.record.identity.incarnation != record.identity.incarnation;
    this->members[record.identity.host] = {record, now, false};
    if (joined)
        this->log.write(Event::MemberJoined, {{"member", record.identity.host}});
}

} // namespace dotterel
