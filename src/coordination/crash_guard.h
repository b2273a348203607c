#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "protocol/crash_notice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

namespace dotterel {

/// Limits of a CrashGuard.
struct CrashLimits
{
    CrashSubject subject = CrashSubject::Request;
    /// Number of crashes at which a suspect is refused; each counts with its weight.
    std::size_t maxCrashes = 3;
    /// Number of latest crashes that are kept for a suspect.
    std::size_t maxRecordedCrashes = 3;
    /// How long after its latest crash a suspect is refused.
    Duration refusalTime = std::chrono::hours(1);
    /// Each crash beyond the limit doubles that time, up to this many times.
    std::size_t maxRefusalDoublings = 0;
    /// Crashes of any servers within this time have one cause and count once.
    Duration commonCauseWindow = Duration::zero();
    /// Number of records beyond which one is evicted for each new one.
    std::size_t maxRecords = 4'096;
    /// Lifetime of a record after the last crash, completion or change of its server.
    Duration recordLifetime = std::chrono::hours(1);
    /// Other hosts are told again of completions that are not older than this.
    Duration sharedCompletionAge = std::chrono::minutes(1);
    /// Number of notices with which another host is told everything.
    std::size_t maxSharedNotices = 64;
    /// Reports of a crash of the same server within this time refer to the same crash.
    Duration duplicateReportWindow = std::chrono::seconds(5);
    /// Allowance for the transit time between hosts, which is not included in the reported age: a
    /// crash may seem to follow a clearance that it preceded. Without this allowance, two hosts
    /// could forward a crash and a clearance to each other forever.
    Duration maxReportDelay = std::chrono::seconds(1);
};

/// What a CrashGuard writes to the log beside the suspect.
struct CrashContext
{
    std::string request;             ///< Id of the request that was running.
    std::string cause;               ///< How its attempt ended, or what clears it.
    Duration age = Duration::zero(); ///< Time since the crash or the completion.
    std::size_t weight = 1;          ///< How much the crash says against the suspect.
};

/// Detects requests that crash the backend servers on which they run. Every request that was
/// running on a server when it crashed is a suspect, until it runs to completion. Findings are sent
/// to the other entry hosts as CrashNotice. Performs no I/O and reads no clock.
class CrashGuard
{
public:
    CrashGuard(const CrashLimits &limits, Metrics &metrics, EventLog &log);

    /// Returns a key that is the same for identical requests of a workspace.
    static std::string fingerprint(std::string_view workspace, std::string_view body);

    /// Returns true if there are no suspects, so that computing fingerprints can be skipped.
    bool empty() const { return this->records.empty(); }

    /// Returns how many servers crashed while running the suspect since it was last cleared; each
    /// crash counts with its weight.
    std::size_t crashCount(const std::string &fingerprint, TimePoint now) const;

    /// Returns the servers that crashed while running the suspect.
    std::vector<ServerId> crashedServers(const std::string &fingerprint) const;

    /// Returns the number of these crashes, without weights.
    std::size_t recordedCrashes(const std::string &fingerprint, TimePoint now) const;

    /// Returns true if as many crashes of the suspect of \a notice are known as it reports, or the
    /// suspect has run to completion since.
    bool isKnown(const CrashNotice &notice, TimePoint now) const;

    /// When a suspect is refused, if that depends on more than CrashLimits.
    struct Threshold
    {
        std::size_t minWeight = 0; ///< Number of crashes, with their weights.
        int timeFactor = 1;        ///< The refusal time is multiplied by this.
    };

    /// Returns true if the suspect has reached the maximum number of crashes, and its refusal time
    /// is not over.
    bool shouldRefuse(const std::string &fingerprint, TimePoint now) const;
    bool shouldRefuse(const std::string &fingerprint, const Threshold &threshold,
                      TimePoint now) const;

    /// Returns the weight of the crashes that no other suspect explains: one that \a outranks this
    /// one and ran on the same server.
    std::size_t unexplainedWeight(const std::string &fingerprint,
                                  const std::function<bool(const std::string &other)> &outranks,
                                  TimePoint now) const;

    /// Returns when the suspect last ran to completion as far as is known; nullopt if never.
    std::optional<TimePoint> completedAt(const std::string &fingerprint) const;

    /// Returns the servers that run other suspects with at least \a minCrashes crashes.
    std::vector<ServerId> serversWithSuspects(const std::string &fingerprint,
                                              std::size_t minCrashes, TimePoint now) const;

    /// Called when \a server crashed while running the request. Returns the notice for other hosts.
    CrashNotice onServerCrashed(const std::string &fingerprint, const ServerId &server,
                                TimePoint now, const CrashContext &context = {});

    /// Called when the suspect was dispatched to \a server, or runs nowhere if \a server is empty.
    /// Returns the notice for other hosts.
    CrashNotice onServerChanged(const std::string &fingerprint, const ServerId &server,
                                TimePoint now);

    /// Called when the suspect ran to completion. Returns the notice for other hosts.
    CrashNotice onFinished(const std::string &fingerprint, TimePoint now,
                           const CrashContext &context = {});

    /// Takes back the crashes whose server, by \a livedOn, has gone on since the time of the crash:
    /// a connection may also be lost because the host that used it was cut off.
    void takeBackCrashes(
            const std::function<bool(const ServerId &server, TimePoint crashedAt)> &livedOn);

    /// Applies \a notice of another host. Returns true if it contained a new crash or clearance.
    bool onNotice(const CrashNotice &notice, TimePoint now);

    /// Returns notices of all suspects and of those cleared lately, for a host that may have missed
    /// them; the ones with most crashes first.
    std::vector<CrashNotice> notices(TimePoint now) const;

    /// Returns notices of the suspects with at least two crashes. Of the others a host hears again,
    /// with all their crashes, when a further server crashes under them.
    std::vector<CrashNotice> recurringNotices(TimePoint now) const;

    /// Numbers of suspects.
    struct Totals
    {
        std::size_t suspects = 0; ///< Requests with at least one crash.
        std::size_t refused = 0;  ///< Requests that shouldRefuse().
    };
    Totals totals(TimePoint now) const;

private:
    struct Crash
    {
        ServerId server;
        TimePoint time;
        std::size_t weight = 1;
        bool takenBack = false; ///< The server lived on; kept to recognize further reports.
    };

    struct Record
    {
        std::vector<Crash> crashes;
        std::optional<TimePoint> clearedAt;
        ServerId runningServer;
        TimePoint lastUpdate; ///< Latest crash, completion or change of the running server.
    };

    static std::size_t weightOf(const std::vector<Crash> &crashes);
    static std::size_t weightOf(const Record &record);
    bool isRefused(const Record &record, const Threshold &threshold, TimePoint now) const;
    bool isExpired(const Record &record, TimePoint now) const;
    /// Returns the record of \a fingerprint; a new one gets the time \a updatedAt.
    Record &makeRecord(const std::string &fingerprint, TimePoint updatedAt, TimePoint now);
    void setRunningServer(Record &record, const ServerId &server, TimePoint now) const;
    void evictRecord(TimePoint now);
    /// Returns the notices of the records that \a isIncluded accepts, those with most crashes
    /// first.
    std::vector<CrashNotice> collectNotices(const std::function<bool(const Record &)> &isIncluded,
                                            TimePoint now) const;
    bool addCrash(Record &record, const Crash &crash);
    /// Returns true if \a left and \a right are reports of one crash, or have a common cause.
    bool isSameCrash(const Crash &left, const Crash &right) const;
    static bool applyClearance(Record &record, TimePoint time);
    CrashNotice makeNotice(const std::string &fingerprint, const Record &record,
                           TimePoint now) const;

    CrashLimits limits;
    Metrics &metrics;
    EventLog &log;
    std::map<std::string, Record> records;
};

} // namespace dotterel
