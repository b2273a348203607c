#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "core/time.h"
#include "protocol/peer_message.h"
#include "state/configuration.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Whether a backend server may get new work.
enum class ServerState {
    Up,
    Draining, ///< It is leaving: running work goes on, new work goes elsewhere.
    Down,     ///< It stopped answering and is tried again after a pause.
};

/// Returns the external name of \a state.
std::string_view serverStateName(ServerState state);

/// What an entry host knows of each configured backend server. Pure: driven by events and times.
class BackendDirectory
{
public:
    BackendDirectory(EventLog &log, Metrics &metrics);

    /// Takes over the servers of \a configuration and keeps what is known of those that stay.
    void applyConfiguration(const Configuration &configuration);

    /// Returns the servers of \a pool that may get new work at \a now.
    std::vector<const BackendServer *> usable(const std::string &pool, TimePoint now) const;

    /// Returns the configured server \a id, or null.
    const BackendServer *find(const ServerId &id) const;

    /// Returns the state of server \a id at \a now.
    ServerState state(const ServerId &id, TimePoint now) const;

    /// Notes that server \a id said itself that it is leaving.
    void markDraining(const ServerId &id);

    /// Notes that server \a id said itself, repeatedly, that it takes new work.
    void markReturned(const ServerId &id);

    /// Takes over the platform's list, on which the servers \a leaving are marked. A server that
    /// only the list marked is used again once the mark is gone; one that this host saw marked and
    /// then unmarked is too.
    void applyList(const std::set<ServerId> &leaving, TimePoint now);

    /// Takes over what a peer knows. Notices may come in any order and more than once.
    void applyNotice(const ServerNotice &notice, TimePoint now);

    /// Returns what this host found out since the last call, for the peers.
    std::vector<ServerNotice> takeNotices();

    /// Returns the servers of all model pools, whatever their state.
    std::vector<ServerId> modelServers() const;

    /// Returns the leaving servers of model pools that may be asked whether they are back.
    std::vector<ServerId> drainingByOwnWord() const;

    /// Notes that server \a id does not answer; it is tried again after a pause.
    void markDown(const ServerId &id, TimePoint now);

    /// Notes that server \a id answered.
    void markUp(const ServerId &id);

private:
    struct Entry
    {
        BackendServer server;
        bool leaving = false;
        bool byList = false;     ///< Only the platform's list says that the server leaves.
        bool listedHere = false; ///< This host itself read that mark.
        TimePoint changed;       ///< When a notice or the list last spoke of it.
        bool down = false;
        TimePoint retryAt;
    };

    void setLeaving(const ServerId &id, Entry &entry, bool leaving, bool byList);

    EventLog &log;
    Metrics &metrics;
    std::map<ServerId, Entry> entries;
    std::set<std::string> modelPools;
    std::map<ServerId, std::uint64_t> sequences; ///< Of notices; outlive a server's removal.
    std::vector<ServerNotice> found;
};

} // namespace dotterel
