#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "core/time.h"
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

    /// Notes that server \a id is leaving. Draining ends only with the server's removal.
    void markDraining(const ServerId &id);

    /// Notes that server \a id does not answer; it is tried again after a pause.
    void markDown(const ServerId &id, TimePoint now);

    /// Notes that server \a id answered.
    void markUp(const ServerId &id);

    /// Returns the servers that are known to leave, for the peers.
    std::vector<ServerId> draining() const;

private:
    struct Entry
    {
        BackendServer server;
        bool leaving = false;
        bool down = false;
        TimePoint retryAt;
    };

    EventLog &log;
    Metrics &metrics;
    std::map<ServerId, Entry> entries;
};

} // namespace dotterel
