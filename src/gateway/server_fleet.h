#pragma once

#include "core/event_log.h"
#include "gateway/gateway_configuration.h"
#include "gateway/server_limits.h"
#include "gateway/server_pace.h"
#include "gateway/server_warm_up.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

struct ServerLeavingNotice;

/// Timing parameters of a ServerFleet.
struct ServerFleetTimings
{
    /// How long an unreachable server gets no requests; doubled by each further failure.
    Duration initialSuspicion = std::chrono::milliseconds(400);
    Duration maxSuspicion = std::chrono::seconds(3);
    /// A server that answered any request this recently is considered busy, not failed, if another
    /// request gets no answer.
    Duration recentAnswerWindow = std::chrono::milliseconds(400);
    /// Failures this close together count as one and do not double the suspicion time.
    Duration failureMergeWindow = std::chrono::milliseconds(350);
    /// At most this fraction of a pool is suspected because of silence alone. If more of its
    /// servers look silent, the estimate of their load is wrong, and leaving them would overload
    /// the rest.
    double maxSilentFraction = 1.0 / 3.0;
    /// Servers that one other host may report as silent within reportWindow. A host that reports
    /// more of them is more likely to be cut off itself.
    std::size_t maxReportedServers = 2;
    Duration reportWindow = std::chrono::seconds(3);
    /// Half-life of the failure and answer counts.
    Duration failureRateHalfLife = std::chrono::seconds(3);
    /// How long a server stays usable after the removal of an entry that may have expired during a
    /// store outage. Servers write it again within about two seconds; a server that is gone must
    /// get no request that arrives later than that.
    Duration expiredEntryGrace = std::chrono::milliseconds(1'900);
    /// Entries removed within this time of each other count as removed together.
    Duration removalMergeWindow = std::chrono::seconds(1);
    /// If more than this fraction of a pool is removed together, an outage of the store that this
    /// host did not notice is more likely than the loss of the servers.
    double maxRemovedFraction = 0.5;
    /// Bytes that a server sent before it crashed may be received this much later.
    Duration transitTime = std::chrono::milliseconds(50);
    /// Longest pause that a server may ask for.
    Duration maxPause = std::chrono::minutes(10);
    /// Messages about work in progress that a server gets from this host in a pause.
    std::size_t maxContactsInPause = 2;
    /// How long a restored entry of a departed server is not trusted; longer than the store keeps
    /// the entry of a server that does not write it again.
    Duration restoredEntryDoubt = std::chrono::seconds(6);
    /// How long the departure of a server is remembered; longer than a restored copy of the store
    /// can be old.
    Duration departureMemory = std::chrono::minutes(10);
    ServerPaceSettings pace;
};

/// Outcome of an attempt at a server.
enum class AttemptOutcome {
    Answered,
    Failed,      ///< Error status, corrupt answer, or an answer that stalled.
    Refused,     ///< The server refused the request, e.g. for lack of a slot.
    Unreachable, ///< The connection could not be established.
    Silent,      ///< Connected, but no answer within the expected time.
    Leaving,     ///< The server announced that it leaves, or another server has its address.
};

/// Returns the external name of \a outcome.
std::string_view attemptOutcomeName(AttemptOutcome outcome);

/// Registry of the backend servers and their health. Combines the entries that servers register
/// with the outcome of attempts. Performs no I/O.
class ServerFleet
{
public:
    /// \a hostHash differs between the hosts that share the servers.
    ServerFleet(const ServerFleetTimings &timings, EventLog &log, std::uint32_t hostHash = 0);

    /// Sets the pools that the servers belong to.
    void setPools(const std::map<std::string, ServerPool> &pools);

    /// Adds a server or updates its entry. A server that was leaving keeps leaving until it has
    /// another incarnation, since a store restored from a copy shows an earlier entry of it.
    /// Returns true if the server restarted.
    bool put(const GatewayServer &server, TimePoint now);

    /// Handles an entry that may come from a restored copy of the store, before put(). If this host
    /// saw the removal of this incarnation, the server is probably gone: it is only used for some
    /// time if there is no other.
    void doubtIfDeparted(const GatewayServer &server, TimePoint now);

    /// Records that another host knows a server to leave or to have left, whose entry this host
    /// does not have. A store restored from a copy may still show it.
    void onDepartureReported(const ServerLeavingNotice &notice, TimePoint now);

    /// Returns the servers that leave or have left, to tell a host that joins.
    std::vector<ServerLeavingNotice> leavingNotices(TimePoint now);

    /// Handles the removal of the entry of \a server. If \a mayHaveExpired is true, the entry may
    /// have expired because of a store outage; the server then stays usable for a grace period. The
    /// same holds if most of a pool is removed at once: a host whose watch was pending all through
    /// an outage learns of it only by the removals.
    void remove(const ServerId &server, bool mayHaveExpired, TimePoint now);

    /// Records the outcome of an attempt at \a server, which was sent at \a sentAt as far as that
    /// is known.
    void onAttemptOutcome(const ServerId &server, AttemptOutcome outcome, TimePoint now,
                          std::optional<TimePoint> sentAt = std::nullopt);

    /// Records the dispatch, the first event and the end of a prompt of any host.
    void onPromptDispatched(const ServerId &server, const EnginePrompt &prompt, TimePoint now);
    void onPromptFirstEvent(const PromptKey &key, TimePoint now);
    void onPromptEnded(const PromptKey &key) { this->serverPace.onEnded(key); }

    /// Records that \a server announced in an answer that it leaves. Returns true if that is news.
    bool onLeavingAnnounced(const ServerId &server, TimePoint now);

    /// Records that \a server wants no requests from this host for \a pause from now on. It is not
    /// usable until then, even if there is no other server, unless it restarts.
    void onPauseRequested(const ServerId &server, Duration pause, TimePoint now);

    /// Returns true if a message about work in progress, other than a new request, may be sent to
    /// \a server, and counts it: a server that asked for a pause gets few of them.
    bool tryContact(const ServerId &server, TimePoint now);

    /// Returns how long it takes until the first paused server of \a pool is usable again; nullopt
    /// if another one is usable, or none is paused.
    std::optional<Duration> pauseLeft(const std::string &pool, TimePoint now) const;

    /// Records that the host \a senderHash got no response from \a server.
    void onSilenceReported(const ServerId &server, std::uint32_t senderHash, TimePoint now);

    /// Records that another host gets bytes from \a server. Takes back a suspicion that rests on
    /// the reports of other hosts alone: what this host has seen itself may concern its own path.
    void onSilenceContradicted(const ServerId &server, TimePoint now);

    /// Records that \a server sent bytes for any request, which shows that it works.
    void onSignOfLife(const ServerId &server, TimePoint now);

    /// Records that \a server actively refused a connection. Returns true if it may be starting and
    /// that is news for the other hosts.
    bool onConnectionRefused(const ServerId &server, TimePoint now);

    /// Returns when \a server was last found to be gone although it had not said that it leaves:
    /// it refused a connection, its entry was removed or replaced, or another server had its
    /// address; nullopt if never. Entries that an outage of the store may have removed do not
    /// count.
    std::optional<TimePoint> disappearedAt(const ServerId &server) const;

    /// Returns true if \a server, in the incarnation that it had at \a time, has sent something
    /// well after \a time.
    bool livedOn(const ServerId &server, TimePoint time) const;

    /// Forgets the connections that servers of \a pool refused: a host that reaches none of them
    /// cannot tell which have ended.
    void forgetRefusedConnections(const std::string &pool);

    /// Returns when \a server last sent anything; nullopt if never.
    std::optional<TimePoint> lastSignOfLife(const ServerId &server) const;

    /// Returns when \a server last sent bytes to this host; nullopt if never.
    std::optional<TimePoint> lastOwnSign(const ServerId &server) const;

    /// Returns the server, or nullptr if it is unknown. The server need not be usable.
    const GatewayServer *find(const ServerId &server) const;

    /// Returns the servers of \a pool that may get requests, in the order that all hosts share.
    /// Suspected servers are left out unless there is no other, likewise those whose window is
    /// full, and those whose limit is used up.
    std::vector<const GatewayServer *> usable(const std::string &pool, TimePoint now) const;

    /// Returns when the first server of \a pool may get a request if all of them are left out only
    /// for the limits that they name; nullopt otherwise.
    std::optional<TimePoint> limitOpening(const std::string &pool, TimePoint now) const;

    /// Returns true if a server of \a pool is on the way back from a limit.
    bool isLimitLifting(const std::string &pool, TimePoint now) const;

    /// Returns the requests per second that the limited servers of \a pool take from all hosts.
    double limitedRate(const std::string &pool, TimePoint now) const;

    /// Returns the number of servers of \a pool that are neither leaving nor out of service,
    /// suspected or not.
    std::size_t size(const std::string &pool, TimePoint now) const;

    /// Returns true if \a server is known and may get requests; it may be suspected.
    bool isUsable(const ServerId &server, TimePoint now) const;

    /// Sets the failure domains to whose servers nothing new is sent. Their servers stay known, and
    /// requests that run there go on.
    void setDomainsOutOfService(std::set<std::string> domains);

    /// Returns true if \a server drains by its entry, or was heard to leave.
    bool isDraining(const ServerId &server) const;

    /// Returns true if \a server is in a failure domain that is out of service.
    bool isOutOfService(const GatewayServer &server) const;

    /// Returns true if \a pool has servers and all of them are in failure domains that are out of
    /// service.
    bool isOutOfService(const std::string &pool, TimePoint now) const;

    /// Returns the estimated probability that an attempt at \a server fails.
    double failureRate(const ServerId &server, TimePoint now) const;

    /// Returns the position of \a server in the order that all hosts share, from 0 to 1.
    double rank(const ServerId &server) const;

    /// Limits that the servers name.
    ServerLimits &limits() { return this->serverLimits; }
    const ServerLimits &limits() const { return this->serverLimits; }

    /// Handles a response of \a server to a request sent at \a sentAt that says how long its
    /// warm-up takes. Returns true if that is news for the other hosts.
    bool onWarmUpAnswer(const ServerId &server, Duration left, TimePoint sentAt, TimePoint now);

    /// Handles what the host \a senderHash tells of the warm-up of \a server.
    void onWarmUpNotice(const ServerId &server, std::uint32_t senderHash,
                        const ServerWarmUpNotice &notice, TimePoint now);

    /// Returns what to tell the other hosts about the warm-up of \a server; nullopt if it is over
    /// and they need not be told.
    std::optional<ServerWarmUpNotice> warmUpNotice(const ServerId &server, TimePoint now) const;

    /// Returns what to tell a host that knows no warm-ups yet.
    std::vector<ServerWarmUpNotice> warmUpNotices(TimePoint now) const;

    /// Returns true if \a server warms up.
    bool isWarmingUp(const ServerId &server, TimePoint now) const;

    /// Logs which warm-ups have ended. Returns the number of servers that warm up.
    std::size_t settleWarmUps(TimePoint now) { return this->warmUps.settle(now); }

    /// Pace of servers that have just started or recovered.
    ServerPace &pace() { return this->serverPace; }

    /// Returns all known servers, except those whose removed entries were not written again in
    /// time.
    std::vector<const GatewayServer *> all(TimePoint now) const;

private:
    struct Record
    {
        GatewayServer server;
        double rank = 0;
        double failures = 0;
        double answers = 0;
        TimePoint decayedAt; ///< When failures and answers last decayed.
        int suspicions = 0;
        /// Latest failure that extended the suspicion.
        std::optional<TimePoint> lastCountedFailure;
        std::optional<TimePoint> lastAnswer;  ///< Latest sign of life, for any request.
        std::optional<TimePoint> lastOwnSign; ///< Latest bytes that this host received.
        TimePoint suspectedUntil;
        std::optional<TimePoint> lastContradiction; ///< Of reports that the server is silent.
        bool suspectedForSilence = false;           ///< Reason of the latest suspicion.
        bool suspectedByReport = false;     ///< The latest suspicion rests on a report alone.
        bool announcedLeaving = false;      ///< Announced in an answer.
        TimePoint pausedUntil;              ///< The server wants no requests before.
        std::size_t contactsInPause = 0;    ///< Messages sent to it in the current pause.
        TimePoint knownSince;               ///< When this incarnation was registered here.
        std::optional<TimePoint> removedAt; ///< When the entry was removed.
        std::optional<TimePoint> expiresAt; ///< End of the grace period after the entry expired.
    };

    /// A server whose entry was removed.
    struct Departure
    {
        std::uint64_t incarnation = 0;
        bool wasLeaving = false;
        TimePoint removedAt;
        std::optional<TimePoint> doubtedUntil; ///< Set while a restored entry is not trusted.
    };

    /// A server of which another host knows that it left, while this host has no entry of it.
    struct ReportedDeparture
    {
        std::uint64_t incarnation = 0;
        TimePoint reportedAt;
    };

    static bool isLeaving(const Record &record);
    void recordDisappearance(const Record &record, TimePoint now);
    void removeExpired(TimePoint now);
    void forgetDepartures(TimePoint now);
    void graceIfMostRemoved(const std::string &pool, TimePoint now);
    void decayCounts(Record &record, TimePoint now) const;
    void suspectServer(Record &record, AttemptOutcome outcome, TimePoint now);
    bool maySuspectForSilence(const Record &record, TimePoint now) const;
    bool isSchedulable(const Record &record, TimePoint now) const;
    bool isLeavingOrGone(const Record &record, TimePoint now) const;
    bool hasStartedNow(const GatewayServer &server, TimePoint now) const;
    void applyWarmUp(const GatewayServer &server, TimePoint now);
    bool concernsIncarnation(const Record &record, AttemptOutcome outcome,
                             std::optional<TimePoint> sentAt) const;
    void updatePace(const Record &record, AttemptOutcome outcome, TimePoint now);

    ServerFleetTimings timings;
    EventLog &log;
    ServerLimits serverLimits;
    ServerWarmUps warmUps;
    ServerPace serverPace;
    std::map<ServerId, Record> records;
    /// Departed servers, whose entries a restored store may show again.
    std::map<ServerId, Departure> departures;
    std::map<std::uint32_t, ReportedDeparture> reportedDepartures; ///< By hash of the server id.
    std::map<ServerId, TimePoint> disappearances;     ///< Shown by entries; see disappearedAt().
    std::map<ServerId, TimePoint> refusedConnections; ///< Likewise, shown by connections.
    std::set<std::string> domainsOutOfService;
    /// Servers that each other host reported as silent, with the time of the latest report.
    std::map<std::uint32_t, std::map<ServerId, TimePoint>> silenceReports;
};

} // namespace dotterel
