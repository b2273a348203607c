#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dotterel {

/// Severity of a logged event, in rising order.
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

/// Log events with stable numbers: the number of a removed event is not reused. docs/EVENTS.md is
/// the catalogue.
enum class Event : std::uint16_t {
    HostStarted = 100,
    HostReady = 101,
    ShutdownBegan = 102,
    ShutdownDone = 103,
    SettingsRejected = 104,
    SettingsReloaded = 105,
    HandlingFailed = 106,
    HostStopped = 107,
    RequestRefused = 200,
    RequestFinished = 201,
    AttemptFailed = 202,
    AttemptStarted = 203,
    ForeignBytesDropped = 204,
    CallerLeft = 205,
    LinesSuppressed = 206,
    ResponseTooLarge = 207,
    RequestRelayed = 208,
    RelayedRequestTaken = 209,
    OrderClaimed = 300,
    OrderClaimFailed = 301,
    OrderOutcomeRecorded = 302,
    ConfigurationApplied = 400,
    ConfigurationRejected = 401,
    PlatformUnavailable = 402,
    PlatformReachable = 403,
    PlatformHistoryLost = 404,
    ObjectRejected = 405,
    ObjectOutdated = 406,
    PlatformEraChanged = 407,
    PlatformEraRejected = 408,
    WatchRenewed = 409,
    PeerLinked = 500,
    PeerLinkClosed = 501,
    PeerFrameRejected = 502,
    MemberSuspected = 503,
    MemberJoined = 504,
    HostEntryRemoved = 505,
    HostEntryRestored = 506,
    ServerDraining = 600,
    ServerDown = 601,
    ServerUp = 602,
    ServerPaused = 603,
    ServerLimited = 604,
    ServerLimitInvalid = 605,
    ServiceOutOfReach = 606,
    ServiceReachable = 607,
    ServerWarmingUp = 608,
    ServerWarm = 609,
    ServerSuspicionLifted = 610,
    ServerPaceStarted = 611,
    ServerPaceEnded = 612,
    DomainOutOfService = 620,
    DomainInService = 621,
    DomainEntryLost = 622,
    AllocationReleased = 700,
    AllocationReserveFailed = 701,
    CrashSuspect = 800,
    CrashRefused = 801,
    CrashCleared = 802,
    CrashLearned = 803,
    CrashDoubted = 804,
    CrashDoubtSettled = 805,
    CrashSuspectStored = 806,
    CrashSuspectsRead = 807,
};

/// Static properties of an Event.
struct EventInfo
{
    Event event;
    std::string_view name;
    Severity severity;
    std::string_view meaning;
};

/// Returns the properties of all events in ascending order of their numbers.
const std::vector<EventInfo> &eventTable();

/// Returns the external name of \a severity.
std::string_view severityName(Severity severity);

/// A key-value pair attached to a logged event.
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double> value;
};

/// Receives log events. Implementations write them out or collect them for a test.
class EventLog
{
public:
    virtual ~EventLog() = default;

    /// Logs \a event with \a fields.
    virtual void write(Event event, const std::vector<LogField> &fields) = 0;
};

/// Discards all events.
class NullEventLog : public EventLog
{
public:
    void write(Event event, const std::vector<LogField> &fields) override;
};

} // namespace dotterel
