#pragma once

#include "core/time.h"
#include "transport/endpoint.h"

#include <map>
#include <set>
#include <vector>

namespace dotterel {

/// The hosts to which prompt updates are sent. Membership finds a host that starts only after some
/// heartbeats; until then, it and the others would place prompts without knowing of each other's,
/// and choose the same engines. Answers the loss of all hosts at once, rolling restarts and added
/// hosts: updates also go to the hosts on the platform's list, which a new host reads first, and to
/// hosts that have just announced themselves. Performs no I/O.
class PromptUpdatePeers
{
public:
    /// \a startedAt is the start of this process, \a own the address of this host.
    PromptUpdatePeers(Endpoint own, TimePoint startedAt);

    /// Sets the addresses of the live members.
    void setLive(const std::vector<Endpoint> &endpoints);

    /// Sets the addresses on the platform's list of hosts, which may be stale.
    void setListed(const std::vector<Endpoint> &endpoints);

    /// The host at \a endpoint announced that it has started.
    void onJoined(const Endpoint &endpoint, TimePoint now);

    /// Returns true if this host should announce itself to the others now, and counts it as done.
    /// A second announcement replaces a lost one.
    bool takeAnnouncement(TimePoint now);

    /// Returns the addresses to send updates to, without that of this host.
    std::vector<Endpoint> endpoints(TimePoint now) const;

private:
    bool isJoining(TimePoint now) const;

    Endpoint own;
    TimePoint startedAt;
    std::set<Endpoint> live;
    std::set<Endpoint> listed;
    std::map<Endpoint, TimePoint> joinedAt;
    int announcements = 0;
};

} // namespace dotterel
