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
    this->self.counter = 1;
}

std::optional<Heartbeat> Membership::onTick(TimePoint now)
{
    this->forgivePause(now);
    ++this->ticks;
    this->probeRound = this->ticks / TicksPerProbe;
    this->suspectSilent(now);
    this->buryUnrefuted(now);
    this->table.removeEndedBefore(now - EndedMemberRetention);
    this->chooseTargets(now);
    this->metrics.set(Gauge::LiveMembers, static_cast<double>(this->liveCount()));
    const bool due = this->ticks % TicksPerHeartbeat == 0;
    if (!due && !this->beatNow && this->news.empty() && this->noticeNews.empty())
        return std::nullopt;
    this->beatNow = false;
    Heartbeat heartbeat = this->greeting();
    heartbeat.news = this->takeNews();
    for (const auto &[server, notice] : std::exchange(this->noticeNews, {}))
        heartbeat.notices.push_back(notice);
    return heartbeat;
}

Heartbeat Membership::greeting() const
{
    Heartbeat heartbeat;
    heartbeat.sender = this->self;
    heartbeat.digest = this->digest();
    return heartbeat;
}

Heartbeat Membership::goodbye() const
{
    Heartbeat heartbeat = this->greeting();
    heartbeat.unlinking = true;
    return heartbeat;
}

std::optional<PeerMessage> Membership::onHeartbeat(const Heartbeat &heartbeat, TimePoint now)
{
    const MemberRecord &sender = heartbeat.sender;
    if (sender.identity.host == this->self.identity.host)
        return std::nullopt;
    this->highestVersion = std::max(this->highestVersion, sender.configurationVersion);
    this->take(sender, now);
    this->heard[sender.identity.host] = now;
    this->table.setConfigurationVersion(sender.identity.host, sender.configurationVersion);
    for (const MemberRecord &record : heartbeat.news)
        this->take(record, now);
    for (const ServerNotice &notice : heartbeat.notices)
        this->publish(notice);
    // Without a link, missing heartbeats are no evidence that the member has failed.
    if (heartbeat.unlinking) {
        this->heard.erase(sender.identity.host);
        return std::nullopt;
    }
    // Tells a member that is considered dead or suspected about it, so that it can refute that.
    const MemberTable::Entry *known = this->table.find(sender.identity.host);
    if (known != nullptr && supersedes(known->record, sender))
        return MemberUpdate{{known->record}, {}, {}};
    return this->compare(heartbeat, now);
}

MemberUpdate Membership::onDigest(const MemberDigest &digest) const
{
    MemberUpdate update = this->table.differingRecords(this->self, digest.buckets);
    update.buckets = toVector(this->table.bucketDigests(this->self));
    return update;
}

std::optional<PeerMessage> Membership::onUpdate(const MemberUpdate &update, TimePoint now)
{
    for (const MemberRecord &record : update.members)
        this->take(record, now);
    for (const ServerNotice &notice : update.notices)
        this->publish(notice);
    if (update.buckets.empty())
        return std::nullopt;
    this->hasTable = true;
    const MemberUpdate missingRecords =
            newerRecords(update, this->table.differingRecords(this->self, update.buckets));
    if (missingRecords.members.empty() && missingRecords.notices.empty())
        return std::nullopt;
    return missingRecords;
}

void Membership::onListed(const std::vector<MemberRecord> &hosts)
{
    this->listed.clear();
    for (const MemberRecord &host : hosts) {
        if (host.identity.host != this->self.identity.host)
            this->listed[host.identity.host] = host;
    }
    for (auto row = this->unreachable.begin(); row != this->unreachable.end();)
        row = this->listed.count(*row) > 0 ? std::next(row) : this->unreachable.erase(row);
    this->targetsRevision = 0;
}

bool Membership::readsHostList() const
{
    return isTaskAssigned(this->self.identity, this->live(), HostListTask, HostListReaders);
}

void Membership::setConfigurationVersion(std::uint64_t version)
{
    this->beatNow = this->beatNow || version != this->self.configurationVersion;
    this->self.configurationVersion = version;
    this->highestVersion = std::max(this->highestVersion, version);
}

void Membership::publish(const ServerNotice &notice)
{
    if (!this->table.merge(notice))
        return;
    this->noticeNews[notice.server] = notice;
    this->arrivedNotices.push_back(notice);
}

std::vector<ServerNotice> Membership::takeNotices()
{
    return std::exchange(this->arrivedNotices, {});
}

void Membership::beginLeaving()
{
    this->self.leaving = true;
    this->announce();
}

Heartbeat Membership::farewell()
{
    this->self.state = MemberState::Left;
    this->announce();
    Heartbeat heartbeat = this->greeting();
    heartbeat.news.push_back(this->self);
    return heartbeat;
}

std::vector<MemberRecord> Membership::live() const
{
    std::vector<MemberRecord> records = {this->self};
    for (const auto &[host, entry] : this->table.entries()) {
        if (isLive(entry.record.state))
            records.push_back(entry.record);
    }
    return records;
}

std::size_t Membership::liveCount() const
{
    const auto &entries = this->table.entries();
    const auto live = std::count_if(entries.begin(), entries.end(), [](const auto &row) {
        return isLive(row.second.record.state);
    });
    return static_cast<std::size_t>(live) + 1;
}

bool Membership::mayRun(const HostId &host, Incarnation incarnation) const
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

void Membership::take(const MemberRecord &record, TimePoint now)
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
    this->addNews(record);
    this->unreachable.erase(record.identity.host);
    if (joined)
        this->log.write(Event::MemberJoined, {{"member", record.identity.host}});
}

void Membership::addNews(const MemberRecord &record)
{
    const HostId &host = record.identity.host;
    const bool isQueued = this->news.count(host) > 0;
    this->news[host] = record;
    if (isQueued)
        return;
    // A refutation is sent first, so that it arrives before the suspicion times out.
    if (host == this->self.identity.host)
        this->newsOrder.push_front(host);
    else
        this->newsOrder.push_back(host);
}

std::vector<MemberRecord> Membership::takeNews()
{
    std::vector<MemberRecord> records;
    while (!this->newsOrder.empty() && records.size() < MaxRecordsPerHeartbeat) {
        const auto row = this->news.find(this->newsOrder.front());
        records.push_back(std::move(row->second));
        this->news.erase(row);
        this->newsOrder.pop_front();
    }
    return records;
}

void Membership::refute(const MemberRecord &record)
{
    const bool isSameIncarnation = record.identity.incarnation == this->self.identity.incarnation;
    if (!isSameIncarnation || this->self.state != MemberState::Alive
        || !supersedes(record, this->self))
        return;
    this->self.counter = record.counter;
    this->announce();
}

void Membership::announce()
{
    ++this->self.counter;
    this->addNews(this->self);
    this->beatNow = true;
}

void Membership::setState(const MemberRecord &record, MemberState state, TimePoint now)
{
    MemberRecord changed = record;
    changed.state = state;
    this->table.merge(changed, now);
    this->addNews(changed);
}

std::uint64_t Membership::digest() const
{
    const bool valid = this->digestRevision == this->table.revision()
                       && this->digestCounter == this->self.counter;
    if (!valid) {
        this->cachedDigest = combineDigests(this->table.bucketDigests(this->self));
        this->digestRevision = this->table.revision();
        this->digestCounter = this->self.counter;
    }
    return this->cachedDigest;
}

std::optional<PeerMessage> Membership::compare(const Heartbeat &heartbeat, TimePoint now)
{
    const HostId &host = heartbeat.sender.identity.host;
    if (heartbeat.digest == this->digest()) {
        this->differsSince.erase(host);
        return std::nullopt;
    }
    const TimePoint since = this->differsSince.emplace(host, now).first->second;
    const Duration delay = this->tick * DigestMismatchTicks;
    const bool isPersistent = now - since >= delay;
    const bool mayCompare = !this->lastComparison || now - *this->lastComparison >= delay;
    // A newly started host requests a table immediately.
    if (!mayCompare || (!isPersistent && this->hasTable))
        return std::nullopt;
    this->lastComparison = now;
    this->differsSince.erase(host);
    return MemberDigest{toVector(this->table.bucketDigests(this->self))};
}

} // namespace dotterel
