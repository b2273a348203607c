#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "protocol/crash_notice.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace dotterel {

/// Limits of a CrashGuard.
struct CrashLimits
{
    std::size_t mostCrashes = 3;                  ///< Then the request is refused.
    std::size_t mostRecords = 4'096;              ///< The oldest is dropped for a new one.
    Duration maxAge = std::chrono::hours(1);      ///< After which a record is forgotten.
    Duration sameCrash = std::chrono::seconds(5); ///< Reports of one death of a server.
    /// A report ages by its way from host to host, so that a crash may seem to follow a clearance
    /// that it preceded; without this, two reports could chase each other for ever.
    Duration reportDelay = std::chrono::seconds(1);
};

/// Finds the requests that crash the backend servers they run on. Every request that was running on
/// a server that died is a suspect; one that then runs to its end is cleared. What it learns
/// travels to the other entry hosts as CrashNotice. Pure.
class CrashGuard
{
public:
    CrashGuard(const CrashLimits &limits, Metrics &metrics, EventLog &log);

    /// Names equal requests of a workspace alike.
    static std::string fingerprint(std::string_view workspace, std::string_view body);

    /// Returns true if there is no suspect, so that no request needs a fingerprint.
    bool empty() const { return this->records.empty(); }

    /// Returns how many servers died while the request was running and not cleared.
    std::size_t crashes(const std::string &fingerprint, TimePoint now) const;

    /// Returns true if the request must be refused.
    bool refuses(const std::string &fingerprint, TimePoint now) const;

    /// Returns the servers on which other suspects of at least \a leastCrashes run.
    std::vector<ServerId> serversOfSuspects(const std::string &fingerprint,
                                            std::size_t leastCrashes, TimePoint now) const;

    /// \a server died while the request was running on it.
    CrashNotice onServerDied(const std::string &fingerprint, const ServerId &server, TimePoint now);

    /// The suspect was sent to \a server, or to none if that is empty.
    CrashNotice onMoved(const std::string &fingerprint, const ServerId &server, TimePoint now);

    /// The suspect ran to its end.
    CrashNotice onFinished(const std::string &fingerprint, TimePoint now);

    /// Another host sent \a notice; returns true if it told of a new crash or clearance.
    bool onNotice(const CrashNotice &notice, TimePoint now);

private:
    struct Crash
    {
        ServerId server;
        TimePoint time;
    };

    struct Record
    {
        std::vector<Crash> crashes;
        std::optional<TimePoint> cleared;
        ServerId runsOn;
        TimePoint touched;
    };

    Record &touch(const std::string &fingerprint, TimePoint now);
    void dropOldest(TimePoint now);
    bool addCrash(Record &record, const Crash &crash);
    static bool clear(Record &record, TimePoint time);
    static CrashNotice noticeOf(const std::string &fingerprint, const Record &record,
                                TimePoint now);

    CrashLimits limits;
    Metrics &metrics;
    EventLog &log;
    std::map<std::string, Record> records;
};

} // namespace dotterel
