// The failure detection and link selection of Membership.

#include "coordination/member_topology.h"
#include "coordination/membership.h"
#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

// Timeouts, in ticks.
constexpr int HeartbeatTimeoutTicks = 8;
constexpr int SuspicionTimeoutTicks = 5;
constexpr int MinPauseTicks = 4;

} // namespace

void Membership::compensatePause(TimePoint now)
{
    const Duration gap = this->lastTick ? now - *this->lastTick : Duration::zero();
    this->lastTick = now;
    if (gap < this->tick * MinPauseTicks)
        return;
    // This process was suspended and received no messages, so missing heartbeats in this period are
    // no evidence that a peer has failed.
    for (auto &[host, time] : this->lastHeard)
        time += gap;
    this->table.shiftTimes(gap);
}

void Membership::suspectSilentMembers(TimePoint now)
{
    for (auto it = this->lastHeard.begin(); it != this->lastHeard.end();) {
        if (now - it->second < this->tick * HeartbeatTimeoutTicks) {
            ++it;
            continue;
        }
        const MemberTable::Entry *known = this->table.find(it->first);
        if (known == nullptr) {
            this->unreachable.insert(it->first);
            this->targetsRevision = 0;
        } else if (known->record.state == MemberState::Alive) {
            this->log.write(Event::MemberSuspected, {{"member", it->first}});
            this->changeState(known->record, MemberState::Suspected, now);
        }
        this->digestMismatchSince.erase(it->first);
        it = this->lastHeard.erase(it);
    }
}

void Membership::declareUnrefutedDead(TimePoint now)
{
    std::vector<MemberRecord> expired;
    for (const auto &[host, entry] : this->table.entries()) {
        if (entry.record.state == MemberState::Suspected
            && now - entry.mergedAt >= this->tick * SuspicionTimeoutTicks)
            expired.push_back(entry.record);
    }
    for (const MemberRecord &record : expired)
        this->changeState(record, MemberState::Dead, now);
}

void Membership::updateLinkTargets(TimePoint now)
{
    const bool probeDue = this->ticks % TicksPerProbe == 0;
    if (this->targetsRevision == this->table.revision() && !probeDue)
        return;
    this->targetsRevision = this->table.revision();
    std::vector<MemberRecord> candidates = this->liveMembers();
    for (const auto &[host, record] : this->listedHosts) {
        if (this->table.find(host) == nullptr && this->unreachable.count(host) == 0)
            candidates.push_back(record);
    }
    const std::vector<MemberRecord> selected = selectLinkTargets(this->self.identity, candidates);
    for (const MemberRecord &target : selected)
        this->lastHeard.emplace(target.identity.host, now);
    // Stops monitoring peers without an outgoing link. If the peer has opened a link, its next
    // heartbeat starts the monitoring again.
    for (const MemberRecord &target : this->targets) {
        const HostId &host = target.identity.host;
        const bool stillSelected =
                std::any_of(selected.begin(), selected.end(),
                            [&host](const auto &other) { return other.identity.host == host; });
        if (!stillSelected)
            this->lastHeard.erase(host);
    }
    this->targets = selected;
    const std::optional<MemberRecord> probe = this->selectProbeTarget();
    if (probe)
        this->targets.push_back(*probe);
}

std::optional<MemberRecord> Membership::selectProbeTarget() const
{
    std::vector<const MemberRecord *> candidates;
    for (const auto &[host, entry] : this->table.entries()) {
        if (entry.record.state == MemberState::Dead)
            candidates.push_back(&entry.record);
    }
    for (const HostId &host : this->unreachable) {
        const auto record = this->listedHosts.find(host);
        if (record != this->listedHosts.end())
            candidates.push_back(&record->second);
    }
    if (candidates.empty())
        return std::nullopt;
    const std::uint64_t hash = hash64(this->self.identity.host + toHex(this->probeRound));
    return *candidates[hash % candidates.size()];
}

} // namespace dotterel
