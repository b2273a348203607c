#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/metrics.h"
#include "core/time.h"
#include "protocol/peer_message.h"

#include <map>
#include <vector>

namespace dotterel {

/// Which entry hosts are alive, learned from heartbeats that carry news of others. Pure.
class Membership
{
public:
    Membership(HostIdentity self, Duration heartbeatInterval, Metrics &metrics, EventLog &log);

    /// Returns the heartbeat to send to every linked peer now.
    Heartbeat beat(std::uint64_t configurationVersion, const std::vector<ServerId> &draining);

    /// Takes over what \a heartbeat says.
    void onHeartbeat(const Heartbeat &heartbeat, TimePoint now);

    /// Suspects members whose heartbeats stopped.
    void onTimer(TimePoint now);

    /// Announces to the peers that this host is leaving.
    void beginLeaving() { this->leaving = true; }

    /// Returns the members that are alive, this host among them.
    std::vector<MemberRecord> live() const;

    /// Returns the highest configuration version that any member announced.
    std::uint64_t highestConfigurationVersion() const;

private:
    struct Entry
    {
        MemberRecord record;
        TimePoint heard;
        bool suspected = false;
    };

    void merge(const MemberRecord &record, TimePoint now);

    HostIdentity self;
    Duration suspectAfter;
    Metrics &metrics;
    EventLog &log;
    std::uint64_t counter = 0;
    std::uint64_t ownConfigurationVersion = 0;
    bool leaving = false;
    std::map<HostId, Entry> members;
};

} // namespace dotterel
