#pragma once

#include "core/event_log.h"
#include "core/time.h"
#include "gateway/gateway_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// What a host tells the others of a server that warms up, with each request that it sends there
/// and when it learns of a change that no entry shows.
struct ServerWarmUpNotice
{
    std::uint32_t serverHash = 0;     ///< Hash of the server id.
    std::uint64_t incarnation = 0;    ///< Of the server; another one has said nothing.
    Duration left = Duration::zero(); ///< Of the warm-up; zero if the server is warm.
    Duration age = Duration::zero();  ///< Time since the sender heard of it.
    std::uint64_t sent = 0; ///< Requests that the sender has sent there since it keeps count.
};

/// Where a host heard of a warm-up.
enum class WarmUpSource {
    Start,  ///< The incarnation is new.
    Outage, ///< The server refused a connection, so it may be starting again.
    Entry,  ///< Registration entry.
    Answer, ///< Any response of the server.
    Host,   ///< Another host.
};

/// Returns the external name of \a source.
std::string_view warmUpSourceName(WarmUpSource source);

/// Rate at which a server takes requests of all hosts together, and until when.
struct WarmUpTerm
{
    double rate = 0; ///< In requests per second.
    TimePoint until;
};

/// Knows which servers warm up, for one incarnation of each. The newest word counts, wherever it
/// comes from. A server without any word warms up if it has started while this host was running, or
/// may have: those are the moments at which an idle server attracts the requests of all hosts at
/// once. Performs no I/O.
class ServerWarmUps
{
public:
    explicit ServerWarmUps(EventLog &log)
        : log(log)
    {}

    /// Sets the pools, which state how long their servers warm up and at which rate.
    void setPools(const std::map<std::string, ServerPool> &newPools) { this->pools = newPools; }

    /// Handles the entry of \a server. \a hasStarted tells that the incarnation is new and appeared
    /// while the host was running. Returns true if the term changed, as all of these do.
    bool onEntry(const GatewayServer &server, bool hasStarted, TimePoint now);

    /// Handles a response of \a server to a request sent at \a sentAt, which says that the warm-up
    /// takes \a left longer.
    bool onAnswer(const GatewayServer &server, Duration left, TimePoint sentAt, TimePoint now);

    /// Handles a refused connection: \a server may be starting again. It is asked again up to
    /// \a retryTime later.
    bool onConnectionRefused(const GatewayServer &server, Duration retryTime, TimePoint now);

    /// Handles what another host heard.
    bool onNotice(const GatewayServer &server, const ServerWarmUpNotice &notice, TimePoint now);

    /// Returns the term of the latest warm-up of \a server, which may be over.
    std::optional<WarmUpTerm> term(const GatewayServer &server) const;

    /// Returns true if \a server warms up.
    bool isWarmingUp(const GatewayServer &server, TimePoint now) const;

    /// Returns what to tell the other hosts about \a server, without the count; nullopt if there is
    /// nothing.
    std::optional<ServerWarmUpNotice> notice(const GatewayServer &server, TimePoint now) const;

    /// Forgets what was heard of \a server, since it restarted or is gone.
    void forget(const ServerId &server) { this->records.erase(server); }

    /// Logs the warm-ups that have ended since the last call. Returns the number of the others.
    std::size_t settle(TimePoint now);

private:
    struct Record
    {
        std::uint64_t incarnation = 0;
        WarmUpSource source = WarmUpSource::Entry; ///< Of the latest word.
        TimePoint heardAt;
        TimePoint until;
        TimePoint startedAt;
        bool isLogged = false; ///< The end has not been logged yet.
    };

    Duration warmUpTime(const std::string &pool) const;
    double rateOf(const std::string &pool) const;
    bool hear(const GatewayServer &server, WarmUpSource source, TimePoint heardAt, TimePoint until,
              TimePoint now);
    void logEnd(const ServerId &server, Record &record, TimePoint endedAt);

    EventLog &log;
    std::map<std::string, ServerPool> pools;
    std::map<ServerId, Record> records;
};

} // namespace dotterel
