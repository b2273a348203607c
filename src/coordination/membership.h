#pragma once

#include "coordination/member_table.h"
#include "core/event_log.h"
#include "core/identity.h"
#include "core/metrics.h"
#include "core/time.h"
#include "protocol/peer_message.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Which entry hosts are alive. Heartbeats go to linked peers only; what changes is passed on once
/// over each link, and tables that stay different are compared in parts. Pure: driven by messages
/// and by one tick that is also the unit of every time limit.
class Membership
{
public:
    Membership(HostIdentity self, Duration tick, Metrics &metrics, EventLog &log);

    /// Sets the address where this host accepts links; called before the first tick.
    void setAddress(const Endpoint &peers) { this->self.peers = peers; }

    /// Called at every tick. Returns the heartbeat to send to all linked peers now, if one is due.
    std::optional<Heartbeat> onTick(TimePoint now);

    /// Returns a heartbeat without news, for a link that has just opened.
    Heartbeat greeting() const;

    /// Returns a heartbeat for a link that this host closes because it chose other peers.
    Heartbeat goodbye() const;

    /// Takes over what \a heartbeat says. Returns what to answer on the same link, if anything.
    std::optional<PeerMessage> onHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /// Returns the answer to a peer that compares tables.
    MemberUpdate onDigest(const MemberDigest &digest) const;

    /// Takes over \a update. Returns what the sender lacks, if it asked and lacks something.
    std::optional<PeerMessage> onUpdate(const MemberUpdate &update, TimePoint now);

    /// Takes over the entry hosts on the platform's list; those never heard are link candidates.
    void onListed(const std::vector<MemberRecord> &hosts);

    /// Returns true if this host reads the platform's list for its failure domain.
    bool readsHostList() const;

    /// Notes the configuration in force; a new one is announced with the next tick.
    void setConfigurationVersion(std::uint64_t version);

    /// Passes \a notice on to all members, unless a later one is known.
    void publish(const ServerNotice &notice);

    /// Returns notices that arrived since the last call.
    std::vector<ServerNotice> takeNotices();

    /// Announces that this host finishes its work and takes no new one.
    void beginLeaving();

    /// Returns the last heartbeat of this host, which says that it ends.
    Heartbeat farewell();

    /// Returns the members to which this host should open links now.
    const std::vector<MemberRecord> &linkTargets() const { return this->targets; }

    /// Returns the members that are alive, this host first. A suspected member still counts.
    std::vector<MemberRecord> live() const;

    /// Returns true while \a incarnation of \a host may still run: it is alive or was never heard
    /// to end.
    bool mayRun(const HostId &host, Incarnation incarnation) const;

    /// Returns the highest configuration version that any member announced.
    std::uint64_t highestConfigurationVersion() const { return this->highestVersion; }

    /// Returns this host's own record.
    const MemberRecord &own() const { return this->self; }

private:
    /// Between two tries of a host that was silent.
    static constexpr std::uint64_t TicksPerProbe = 20;

    std::size_t liveCount() const;
    void take(const MemberRecord &record, TimePoint now);
    void addNews(const MemberRecord &record);
    std::vector<MemberRecord> takeNews();
    void refute(const MemberRecord &record);
    void announce();
    void setState(const MemberRecord &record, MemberState state, TimePoint now);
    void forgivePause(TimePoint now);
    void suspectSilent(TimePoint now);
    void buryUnrefuted(TimePoint now);
    void chooseTargets(TimePoint now);
    std::optional<MemberRecord> probeTarget() const;
    std::uint64_t digest() const;
    std::optional<PeerMessage> compare(const Heartbeat &heartbeat, TimePoint now);

    MemberRecord self;
    Duration tick;
    Metrics &metrics;
    EventLog &log;
    MemberTable table;
    std::map<HostId, MemberRecord> listed;    ///< From the platform's list, not heard yet.
    std::set<HostId> unreachable;             ///< Listed, and silent when they were tried.
    std::map<HostId, TimePoint> heard;        ///< Members that this host watches itself.
    std::map<HostId, TimePoint> differsSince; ///< Peers whose digest is not ours.
    std::map<HostId, MemberRecord> news;      ///< To be sent with the next heartbeats.
    std::deque<HostId> newsOrder;             ///< Oldest first, so that none waits for ever.
    std::map<ServerId, ServerNotice> noticeNews;
    std::vector<ServerNotice> arrivedNotices;
    std::vector<MemberRecord> targets;
    std::uint64_t targetsRevision = 0;
    std::uint64_t probeRound = 0;
    std::uint64_t ticks = 0;
    std::uint64_t highestVersion = 0;
    mutable std::uint64_t cachedDigest = 0;
    mutable std::uint64_t digestRevision = 0; ///< Of the table, when the digest was computed.
    mutable std::uint64_t digestCounter = 0;  ///< Of this host, when the digest was computed.
    bool beatNow = true;
    bool hasTable = false; ///< A peer has answered with its table.
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> lastComparison;
};

} // namespace dotterel
