#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Knows which pools this host reaches no server of, as opposed to single servers that are down.
/// Answers a cut between this host and all servers while callers and other hosts still reach it.
/// A server that failed while others of its pool answered is dead, not cut off: it shows nothing
/// about the path until it answers again. Performs no I/O.
class ServiceReach
{
public:
    explicit ServiceReach(EventLog &log);

    /// Records that \a server of \a pool has sent something.
    void onContact(const std::string &pool, const ServerId &server, TimePoint now);

    /// Records that \a server, one of \a poolSize servers, refused a connection, reset it at once
    /// or kept silent. \a since is when that began. What another server of the pool sent since then
    /// shows that the pool is in reach. Returns true if the failure may be one of the path.
    bool onFailure(const std::string &pool, const ServerId &server, std::size_t poolSize,
                   TimePoint since, TimePoint now);

    /// Records whether \a server of \a pool answered a probe.
    void onProbe(const std::string &pool, const ServerId &server, bool answered, TimePoint now);

    /// Records that \a server of \a pool has started, about which nothing is known.
    void onServerStarted(const std::string &pool, const ServerId &server, TimePoint now);

    /// Forgets \a server, whose entry was removed.
    void onServerRemoved(const ServerId &server);

    /// Returns the servers of \a pool that failed while others answered, and have not answered
    /// since.
    const std::set<ServerId> &deadServers(const std::string &pool) const;

    /// Returns true if no server of \a pool is in reach.
    bool isOutOfReach(const std::string &pool) const;

    /// Returns true if a probe has confirmed that.
    bool isConfirmed(const std::string &pool) const;

    /// Returns true if a server of \a pool has sent something since \a time.
    bool hasHeardSince(const std::string &pool, TimePoint time) const;

    /// Returns the pools that are out of reach.
    std::vector<std::string> outOfReach() const;

    /// Returns the pools of which servers failed since the last contact, and which may be out of
    /// reach.
    std::vector<std::string> doubted() const;

private:
    struct Record
    {
        std::optional<TimePoint> lastContact;
        std::set<ServerId> failedServers; ///< Since the last contact.
        std::set<ServerId> soundServers;  ///< Answered, and were not found dead since.
        std::set<ServerId> deadServers;
        std::optional<TimePoint> lostAt; ///< Set while the pool is out of reach.
        bool confirmed = false;          ///< A probe failed since then.
        int answeredProbes = 0;          ///< In a row.
    };

    static bool showsLoss(const Record &record, std::size_t poolSize);
    void regain(const std::string &pool, Record &record, const char *source, TimePoint now);

    EventLog &log;
    std::map<std::string, Record> records;
};

} // namespace dotterel
