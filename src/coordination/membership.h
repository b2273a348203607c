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

/// Gossip-based membership and failure detection of the entry hosts. Heartbeats are sent to linked
/// peers only; each change is forwarded once over each link, and tables that remain different are
/// reconciled by bucket digests. Performs no I/O and reads no clock: it is driven by messages and
/// by a periodic tick, which is also the unit of all timeouts.
class Membership
{
public:
    Membership(HostIdentity self, Duration tick, Metrics &metrics, EventLog &log);

    /// Sets the address at which this host accepts links. Must be called before the first tick.
    void setAddress(const Endpoint &address) { this->self.peerEndpoint = address; }

    /// Announces that this host passes prompt updates on. Must be called before the first tick.
    void setForwardsUpdates() { this->self.forwardsUpdates = true; }

    /// Sets the port on which this host takes over requests. Must be called before the first tick.
    void setRelayPort(std::uint16_t port) { this->self.relayPort = port; }

    /// Must be called once per tick. Returns the heartbeat to send to all linked peers, if one is
    /// due.
    std::optional<Heartbeat> onTick(TimePoint now);

    /// Returns a heartbeat without updates, to send over a newly opened link.
    Heartbeat makeHeartbeat() const;

    /// Returns the last heartbeat for a link that this host closes because it selected other peers.
    Heartbeat makeUnlinkHeartbeat() const;

    /// Processes \a heartbeat. Returns the reply to send over the same link, if any.
    std::optional<PeerMessage> onHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /// Returns the reply to a peer that compares its table with that of this host.
    MemberUpdate onDigest(const MemberDigest &digest) const;

    /// Merges \a update. If the sender included its digests, returns the records that it lacks, if
    /// any.
    std::optional<PeerMessage> onUpdate(const MemberUpdate &update, TimePoint now);

    /// Replaces the platform's list of entry hosts. Hosts on it that are not members yet become
    /// link candidates.
    void onHostList(const std::vector<MemberRecord> &hosts);

    /// Returns true if this host has to read the platform's host list for its failure domain.
    bool shouldReadHostList() const;

    /// Sets the active configuration version of this host. A change is announced at the next tick.
    void setConfigurationVersion(std::uint64_t version);

    /// Propagates \a notice to all members, unless an equal or newer one is known.
    void publishNotice(const ServerDrainNotice &notice);

    /// Returns the notices that became known since the last call.
    std::vector<ServerDrainNotice> takeReceivedNotices();

    /// Announces that this host finishes its requests and accepts no new ones.
    void beginLeaving();

    /// Marks this host as left and returns the heartbeat that announces it.
    Heartbeat leave();

    /// Returns the members to which this host should have links.
    const std::vector<MemberRecord> &linkTargets() const { return this->targets; }

    /// Returns the records of all live members, starting with this host. Suspected members count as
    /// alive.
    std::vector<MemberRecord> liveMembers() const;

    /// Returns true if \a incarnation of \a host may still be running: it is a live member, or no
    /// message has reported its end.
    bool mayBeRunning(const HostId &host, Incarnation incarnation) const;

    /// Returns the highest configuration version that any member has announced.
    std::uint64_t highestConfigurationVersion() const { return this->highestVersion; }

    /// Returns the record of this host.
    const MemberRecord &ownRecord() const { return this->self; }

private:
    /// Interval between connection attempts to unresponsive hosts.
    static constexpr std::uint64_t TicksPerProbe = 20;

    std::size_t countLiveMembers() const;
    void applyRecord(const MemberRecord &record, TimePoint now);
    void queueUpdate(const MemberRecord &record);
    std::vector<MemberRecord> takeQueuedUpdates();
    void refute(const MemberRecord &record);
    void announceSelf();
    void changeState(const MemberRecord &record, MemberState state, TimePoint now);
    void compensatePause(TimePoint now);
    void suspectSilentMembers(TimePoint now);
    void declareUnrefutedDead(TimePoint now);
    void updateLinkTargets(TimePoint now);
    std::optional<MemberRecord> selectProbeTarget() const;
    std::uint64_t digest() const;
    std::optional<PeerMessage> compareDigest(const Heartbeat &heartbeat, TimePoint now);

    MemberRecord self;
    Duration tick;
    Metrics &metrics;
    EventLog &log;
    MemberTable table;
    /// The platform's list, without this host.
    std::map<HostId, MemberRecord> listedHosts;
    /// Listed hosts that did not answer when probed.
    std::set<HostId> unreachable;
    /// Time of the last heartbeat of each directly monitored host.
    std::map<HostId, TimePoint> lastHeard;
    /// Peers whose digest differs from that of this host, with the time of the first mismatch.
    std::map<HostId, TimePoint> digestMismatchSince;
    /// Records to be sent with the next heartbeats.
    std::map<HostId, MemberRecord> queuedUpdates;
    /// Keys of queuedUpdates in sending order, oldest first to avoid starvation.
    std::deque<HostId> updateQueue;
    std::map<ServerId, ServerDrainNotice> queuedNotices;
    std::vector<ServerDrainNotice> receivedNotices;
    std::vector<MemberRecord> targets;
    std::uint64_t targetsRevision = 0;
    std::uint64_t probeRound = 0;
    std::uint64_t ticks = 0;
    std::uint64_t highestVersion = 0;
    mutable std::uint64_t cachedDigest = 0;
    mutable std::uint64_t digestRevision = 0; ///< Table revision of cachedDigest.
    mutable std::uint64_t digestCounter = 0;  ///< Counter of this host in cachedDigest.
    bool isHeartbeatRequested = true;
    bool hasReceivedTable = false; ///< True after a peer has replied with its table.
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> lastComparison;
};

} // namespace dotterel
