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

/// Whether a backend server accepts new requests.
enum class ServerState {
    Up,
    Draining, ///< Running requests continue; new ones go to other servers.
    Down,     ///< Not responding; tried again after a delay.
};

/// Returns the external name of \a state.
std::string_view serverStateName(ServerState state);

/// State of every configured backend server as this entry host knows it. Deterministic: performs no
/// I/O and reads no clock.
class BackendDirectory
{
public:
    BackendDirectory(EventLog &log, Metrics &metrics);

    /// Replaces the set of servers; state of servers that keep their endpoint is retained.
    void applyConfiguration(const Configuration &configuration);

    /// Returns the servers of \a pool that accept new requests at \a now.
    std::vector<const BackendServer *> usableServers(const std::string &pool, TimePoint now) const;

    /// Returns the configured server \a id, or nullptr.
    const BackendServer *find(const ServerId &id) const;

    /// Returns the state of server \a id at \a now; Down if it is not configured.
    ServerState state(const ServerId &id, TimePoint now) const;

    /// Marks server \a id as draining because the server itself reported it.
    void markDraining(const ServerId &id);

    /// Clears the draining mark of server \a id after repeated reports that it accepts requests.
    void clearDraining(const ServerId &id);

    /// Applies the platform's host list, in which the servers \a markedServers are marked as
    /// leaving. A server becomes usable again when its mark disappears, provided that only the list
    /// marked it or that this host itself read the mark before.
    void applyHostList(const std::set<ServerId> &markedServers, TimePoint now);

    /// Applies a notice from a peer. Notices may arrive in any order and more than once.
    void applyServerNotice(const ServerDrainNotice &notice, TimePoint now);

    /// Returns the state changes since the last call that have to be sent to the peers.
    std::vector<ServerDrainNotice> takePendingNotices();

    /// Returns the servers of all model pools, regardless of their state.
    std::vector<ServerId> modelServers() const;

    /// Returns the draining servers of model pools that reported it themselves. They can be polled
    /// to find out whether they accept requests again.
    std::vector<ServerId> selfReportedDraining() const;

    /// Marks server \a id as not responding; it is tried again after a delay.
    void markDown(const ServerId &id, TimePoint now);

    /// Marks server \a id as responding.
    void markUp(const ServerId &id);

private:
    struct Entry
    {
        BackendServer server;
        bool reportedDraining = false;
        bool markedByListOnly = false; ///< Only the platform's host list marks it as leaving.
        bool markSeenLocally = false;  ///< This host read that mark itself.
        TimePoint drainingUpdatedAt;   ///< Last update by a notice or the host list.
        bool down = false;
        TimePoint retryAt;
    };

    void setDraining(const ServerId &id, Entry &entry, bool reportedDraining,
                     bool markedByListOnly);

    EventLog &log;
    Metrics &metrics;
    std::map<ServerId, Entry> entries;
    std::set<std::string> modelPools;
    /// Latest notice of each server; kept after its removal.
    std::map<ServerId, std::uint64_t> noticeSequences;
    std::vector<ServerDrainNotice> pendingNotices;
};

} // namespace dotterel
