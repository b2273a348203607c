#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/time.h"
#include "gateway/server_warm_up.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dotterel {

/// What a host tells the others of a server that names a limit, with each request that it sends
/// there and when it learns of a change.
struct ServerLimitNotice
{
    std::uint32_t serverHash = 0;  ///< Hash of the server id.
    std::uint64_t incarnation = 0; ///< Of the server; another one has said nothing.
    /// Rises with each change of the limit that a host learns from the server itself.
    std::uint64_t revision = 0;
    std::optional<double> limit; ///< Requests per second; nullopt if the limit was lifted.
    std::uint64_t sent = 0; ///< Requests that the sender has sent there since it knows the limit.
};

/// Parameters of ServerLimits.
struct ServerLimitSettings
{
    /// Requests that may be saved up. Four seconds then see at most this many above the limit.
    double burst = 2.0;
    /// Requests in excess of the limit that are paid back at most: these and those of maxDebtTime.
    double maxDebt = 5.0;
    Duration maxDebtTime = std::chrono::seconds(4);
    /// Rate, in requests per second, at which a server with a lower limit, or one of zero, is asked
    /// all the same: only its answers show that the limit has ended.
    double minRate = 0.1;
    /// A lifted limit doubles each rampDoubling until rampTime is over. A server that was in need
    /// is spared a rush of all hosts.
    Duration rampTime = std::chrono::seconds(2);
    Duration rampDoubling = std::chrono::milliseconds(250);
    double minRampRate = 4.0; ///< In requests per second.
    /// A host that still tells of an earlier revision is corrected at most this often.
    Duration correctionInterval = std::chrono::milliseconds(250);
};

/// Keeps the requests of all hosts within the limits that servers name in their answers and within
/// the rates of their warm-ups, for one incarnation of a server each. Every host counts in one
/// token bucket for each limited server what it sends and what the others tell that they sent, so
/// that the rate of the fleet is the limit, and requests that crossed on the way are paid back.
/// Performs no I/O.
class ServerLimits
{
public:
    /// \a hostHash differs between hosts; they take the tokens of a server at different levels.
    ServerLimits(const ServerLimitSettings &settings, std::uint32_t hostHash, EventLog &log);

    /// Sets the part of the fleet that this host is in touch with, above 0 and at most 1. Hosts
    /// that are cut off from others use no more than this part of a limit.
    void setFleetShare(double share) { this->fleetShare = share; }

    /// Handles the limit in an answer of \a server to a request sent at \a sentAt, in requests per
    /// second from all hosts together; nullopt if the answer names none, which lifts it. Returns
    /// true if that is news for the other hosts.
    bool onAnswer(const ServerId &server, std::uint64_t incarnation, std::optional<double> limit,
                  TimePoint sentAt, TimePoint now);

    /// Handles a notice of the host \a senderHash about \a server. Returns true if the sender has
    /// to be told of a later revision.
    bool onNotice(const ServerId &server, std::uint32_t senderHash, const ServerLimitNotice &notice,
                  TimePoint now);

    /// Keeps \a server within the rate of its warm-up, which may be over.
    void setWarmUp(const ServerId &server, std::uint64_t incarnation, const WarmUpTerm &term,
                   TimePoint now);

    /// Handles the number of requests that the host \a senderHash has sent to \a server since it
    /// keeps count.
    void onSentElsewhere(const ServerId &server, std::uint64_t incarnation,
                         std::uint32_t senderHash, std::uint64_t sent, TimePoint now);

    /// Handles a request to \a server of the host \a senderHash, in case that it does not tell its
    /// number, as hosts of earlier versions do not while a server warms up.
    void onRequestElsewhere(const ServerId &server, std::uint32_t senderHash, TimePoint now);

    /// Returns the number of requests that this host has sent to \a server since it keeps count.
    std::uint64_t sentCount(const ServerId &server) const;

    /// Returns true if a request may be sent to \a server.
    bool mayReceive(const ServerId &server, TimePoint now) const;

    /// Returns when a request may be sent to \a server, if nobody sends one before.
    TimePoint opensAt(const ServerId &server, TimePoint now) const;

    /// Returns the rate at which \a server takes requests of all hosts; nullopt without a limit.
    std::optional<double> rate(const ServerId &server, TimePoint now) const;

    /// Returns true if \a server has lifted its limit, or has warmed up, and is on the way back to
    /// its share.
    bool isLifting(const ServerId &server, TimePoint now) const;

    /// Records a request, of any kind, that this host sends to \a server. Returns true if the other
    /// hosts have to be told.
    bool onSent(const ServerId &server, TimePoint now);

    /// Returns what to tell the other hosts about the limit of \a server; nullopt if it never named
    /// one.
    std::optional<ServerLimitNotice> notice(const ServerId &server) const;

    /// Returns what to tell a host that knows no limits yet.
    std::vector<ServerLimitNotice> notices() const;

    /// Forgets what \a server said, since it restarted or is gone.
    void forget(const ServerId &server) { this->records.erase(server); }

    /// Returns the number of servers that name a limit.
    std::size_t limitedServers() const;

private:
    struct Record
    {
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0;
        std::optional<double> limit;
        double lastLimit = 0;             ///< The latest one, if it was lifted.
        std::optional<WarmUpTerm> warmUp; ///< The latest one, which may be over.
        TimePoint changedAt;
        double tokens = 0; ///< Below zero if hosts sent at the same moment.
        TimePoint refilledAt;
        std::uint64_t sent = 0;  ///< By this host.
        std::uint64_t taken = 0; ///< By all hosts.
        std::map<std::uint32_t, std::uint64_t> sentByHost;
        std::optional<TimePoint> correctedAt;
    };

    void change(const ServerId &server, Record &record, std::optional<double> limit,
                const char *source, TimePoint now);
    void countElsewhere(Record &record, std::uint32_t senderHash, std::uint64_t sent,
                        TimePoint now);
    void take(Record &record, std::uint64_t count, TimePoint now);
    std::optional<double> rate(const Record &record, TimePoint now) const;
    std::optional<double> limitRate(const Record &record, TimePoint now) const;
    std::optional<double> warmUpRate(const Record &record, TimePoint now) const;
    std::optional<double> rampRate(double earlierRate, Duration sinceEnd) const;
    double level(const Record &record, TimePoint now) const;
    /// Returns the number of tokens from which on this host takes one.
    double threshold(const ServerId &server, const Record &record) const;
    ServerLimitNotice notice(const ServerId &server, const Record &record) const;

    ServerLimitSettings settings;
    std::uint32_t hostHash;
    EventLog &log;
    double fleetShare = 1.0;
    std::map<ServerId, Record> records;
};

} // namespace dotterel
