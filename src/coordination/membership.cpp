#include "coordination/membership.h"

#include "coordination/member_topology.h"
#include "core/hashing.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

// Timeouts, in ticks.
constexpr std::uint64_t TicksPerHeartbeat = 2;
constexpr int DigestMismatchTicks = 4;
constexpr Duration EndedMemberRetention = std::chrono::minutes(10);

constexpr std::size_t MaxRecordsPerHeartbeat = 48;
constexpr std::size_t HostListReaders = 2;
const std::string HostListTask = "host-list";

std::vector<std::uint64_t> toVector(const BucketDigests &digests)
{
    return {digests.begin(), digests.end()};
}

bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspected;
}

} // namespace

Membership::Membership(HostIdentity self, Duration tick, Metrics &metrics, EventLog &log)
    : tick(tick)
    , metrics(metrics)
    , log(log)
{
    this->self.identity = std::move(self);
    this->self.refutationCounter = 1;
}

std::optional<Heartbeat> Membership::onTick(TimePoint now)
{
    this->compensatePause(now);
    ++this->ticks;
    this->probeRound = this->ticks / TicksPerProbe;
    this->suspectSilentMembers(now);
    this->declareUnrefutedDead(now);
    this->table.removeEndedBefore(now - EndedMemberRetention);
    this->updateLinkTargets(now);
    this->metrics.set(Gauge::LiveMembers, static_cast<double>(this->countLiveMembers()));
    const bool due = this->ticks % TicksPerHeartbeat == 0;
    if (!due && !this->isHeartbeatRequested && this->queuedUpdates.empty()
        && this->queuedNotices.empty())
        return std::nullopt;
    this->isHeartbeatRequested = false;
    Heartbeat heartbeat = this->makeHeartbeat();
    heartbeat.changedRecords = this->takeQueuedUpdates();
    for (const auto &[server, notice] : std::exchange(this->queuedNotices, {}))
        heartbeat.notices.push_back(notice);
    return heartbeat;
}

Heartbeat Membership::makeHeartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.sender = this->self;
    heartbeat.digest = this->digest();
    return heartbeat;
}

Heartbeat Membership::makeUnlinkHeartbeat() const
{
    Heartbeat heartbeat = this->makeHeartbeat();
    heartbeat.closesLink = true;
    return heartbeat;
}

std::optional<PeerMessage> Membership::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    const MemberRecord &sender = heartbeat.sender;
    if (sender.identity.host == this->self.identity.host)
        return std::nullopt;
    this->highestVersion = std::max(this->highestVersion, sender.configurationVersion);
    this->applyRecord(sender, now);
    this->lastHeard[sender.identity.host] = now;
    this->table.setConfigurationVersion(sender.identity.host, sender.configurationVersion);
    for (const MemberRecord &record : heartbeat.changedRecords)
        this->applyRecord(record, now);
    for (const ServerDrainNotice &notice : heartbeat.notices)
        this->publishNotice(notice);
    // Without a link, missing heartbeats are no evidence that the member has failed.
    if (heartbeat.closesLink) {
        this->lastHeard.erase(sender.identity.host);
        return std::nullopt;
    }
    // Tells a member that is considered dead or suspected about it, so that it can refute that.
    const MemberTable::Entry *known = this->table.find(sender.identity.host);
    if (known != nullptr && supersedes(known->record, sender))
        return MemberUpdate{{known->record}, {}, {}};
    return this->compareDigest(heartbeat, now);
}

MemberUpdate Membership::onDigest(const MemberDigest &digest) const
{
    MemberUpdate update = this->table.differingRecords(this->self, digest.bucketDigests);
    update.bucketDigests = toVector(this->table.bucketDigests(this->self));
    return update;
}

std::optional<PeerMessage> Membership::onUpdate(const MemberUpdate &update, TimePoint now)
{
    for (const MemberRecord &record : update.members)
        this->applyRecord(record, now);
    for (const ServerDrainNotice &notice : update.notices)
        this->publishNotice(notice);
    if (update.bucketDigests.empty())
        return std::nullopt;
    this->hasReceivedTable = true;
    const MemberUpdate missingRecords =
            newerRecords(update, this->table.differingRecords(this->self, update.bucketDigests));
    if (missingRecords.members.empty() && missingRecords.notices.empty())
        return std::nullopt;
    return missingRecords;
}

void Membership::onHostList(const std::vector<MemberRecord> &hosts)
{
    this->listedHosts.clear();
    for (const MemberRecord &host : hosts) {
        if (host.identity.host != this->self.identity.host)
            this->listedHosts[host.identity.host] = host;
    }
    for (auto it = this->unreachable.begin(); it != this->unreachable.end();)
        it = this->listedHosts.count(*it) > 0 ? std::next(it) : this->unreachable.erase(it);
    this->targetsRevision = 0;
}

bool Membership::shouldReadHostList() const
{
    return isTaskAssigned(this->self.identity, this->liveMembers(), HostListTask, HostListReaders);
}

void Membership::setConfigurationVersion(std::uint64_t version)
{
    this->isHeartbeatRequested =
            this->isHeartbeatRequested || version != this->self.configurationVersion;
    this->self.configurationVersion = version;
    this->highestVersion = std::max(this->highestVersion, version);
}

void Membership::publishNotice(const ServerDrainNotice &notice)
{
    if (!this->table.merge(notice))
        return;
    this->queuedNotices[notice.server] = notice;
    this->receivedNotices.push_back(notice);
}

std::vector<ServerDrainNotice> Membership::takeReceivedNotices()
{
    return std::exchange(this->receivedNotices, {});
}

void Membership::beginLeaving()
{
    this->self.leaving = true;
    this->announceSelf();
}

Heartbeat Membership::leave()
{
    this->self.state = MemberState::Left;
    this->announceSelf();
    Heartbeat heartbeat = this->makeHeartbeat();
    heartbeat.changedRecords.push_back(this->self);
    return heartbeat;
}

std::vector<MemberRecord> Membership::liveMembers() const
{
    std::vector<MemberRecord> records = {this->self};
    for (const auto &[host, entry] : this->table.entries()) {
        if (isLive(entry.record.state))
            records.push_back(entry.record);
    }
    return records;
}

std::size_t Membership::countLiveMembers() const
{
    const auto &entries = this->table.entries();
    const auto live = std::count_if(entries.begin(), entries.end(), [](const auto &member) {
        return isLive(member.second.record.state);
    });
    return static_cast<std::size_t>(live) + 1;
}

bool Membership::mayBeRunning(const HostId &host, Incarnation incarnation) const
{
    if (host == this->self.identity.host)
        return incarnation == this->self.identity.incarnation;
    const MemberTable::Entry *known = this->table.find(host);
    if (known == nullptr)
        return true;
    if (known->record.identity.incarnation != incarnation)
        return known->record.identity.incarnation < incarnation;
    return isLive(known->record.state);
}

void Membership::applyRecord(const MemberRecord &record, TimePoint now)
{
    if (record.identity.host == this->self.identity.host) {
        this->refute(record);
        return;
    }
    this->highestVersion = std::max(this->highestVersion, record.configurationVersion);
    const MemberTable::Entry *known = this->table.find(record.identity.host);
    const bool joined = isLive(record.state)
                        && (known == nullptr || !isLive(known->record.state)
                            || known->record.identity.incarnation != record.identity.incarnation);
    if (!this->table.merge(record, now))
        return;
    this->queueUpdate(record);
    this->unreachable.erase(record.identity.host);
    if (joined)
        this->log.write(Event::MemberJoined, {{"member", record.identity.host}});
}

void Membership::queueUpdate(const MemberRecord &record)
{
    const HostId &host = record.identity.host;
    const bool isQueued = this->queuedUpdates.count(host) > 0;
    this->queuedUpdates[host] = record;
    if (isQueued)
        return;
    // A refutation is sent first, so that it arrives before the suspicion times out.
    if (host == this->self.identity.host)
        this->updateQueue.push_front(host);
    else
        this->updateQueue.push_back(host);
}

std::vector<MemberRecord> Membership::takeQueuedUpdates()
{
    std::vector<MemberRecord> records;
    while (!this->updateQueue.empty() && records.size() < MaxRecordsPerHeartbeat) {
        const auto it = this->queuedUpdates.find(this->updateQueue.front());
        records.push_back(std::move(it->second));
        this->queuedUpdates.erase(it);
        this->updateQueue.pop_front();
    }
    return records;
}

void Membership::refute(const MemberRecord &record)
{
    const bool isSameIncarnation = record.identity.incarnation == this->self.identity.incarnation;
    if (!isSameIncarnation || this->self.state != MemberState::Alive
        || !supersedes(record, this->self))
        return;
    this->self.refutationCounter = record.refutationCounter;
    this->announceSelf();
}

void Membership::announceSelf()
{
    ++this->self.refutationCounter;
    this->queueUpdate(this->self);
    this->isHeartbeatRequested = true;
}

void Membership::changeState(const MemberRecord &record, MemberState state, TimePoint now)
{
    MemberRecord changed = record;
    changed.state = state;
    this->table.merge(changed, now);
    this->queueUpdate(changed);
}

std::uint64_t Membership::digest() const
{
    const bool valid = this->digestRevision == this->table.revision()
                       && this->digestCounter == this->self.refutationCounter;
    if (!valid) {
        this->cachedDigest = combineDigests(this->table.bucketDigests(this->self));
        this->digestRevision = this->table.revision();
        this->digestCounter = this->self.refutationCounter;
    }
    return this->cachedDigest;
}

std::optional<PeerMessage> Membership::compareDigest(const Heartbeat &heartbeat, TimePoint now)
{
    const HostId &host = heartbeat.sender.identity.host;
    if (heartbeat.digest == this->digest()) {
        this->digestMismatchSince.erase(host);
        return std::nullopt;
    }
    const TimePoint since = this->digestMismatchSince.emplace(host, now).first->second;
    const Duration delay = this->tick * DigestMismatchTicks;
    const bool isPersistent = now - since >= delay;
    const bool mayCompare = !this->lastComparison || now - *this->lastComparison >= delay;
    // A newly started host requests a table immediately.
    if (!mayCompare || (!isPersistent && this->hasReceivedTable))
        return std::nullopt;
    this->lastComparison = now;
    this->digestMismatchSince.erase(host);
    return MemberDigest{toVector(this->table.bucketDigests(this->self))};
}

} // namespace dotterel
