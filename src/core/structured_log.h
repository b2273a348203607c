#pragma once

#include "core/event_log.h"
#include "core/identity.h"

#include <functional>
#include <memory>

namespace dotterel {

/// Rate limit of a StructuredLog, as a token bucket.
struct LogRateLimit
{
    double linesPerSecond = 400; ///< Several times the usual log rate of a host.
    double burst = 2'000;        ///< Allows all servers and members to change state at once.
};

/// Writes each event as a line of JSON to standard output through Boost.Log. Lines above the rate
/// limit are dropped; a LinesSuppressed event reports how many.
class StructuredLog : public EventLog
{
public:
    /// Returns the monotonic time in microseconds.
    using MicrosecondClock = std::function<std::int64_t()>;

    /// Logs events of at least severity \a threshold and adds \a host to each line.
    StructuredLog(HostId host, Severity threshold, const LogRateLimit &rateLimit = LogRateLimit{});
    ~StructuredLog() override;

    void write(Event event, const std::vector<LogField> &fields) override;

    /// Replaces the clock of the rate limit.
    void setClock(MicrosecondClock replacement) { this->clock = std::move(replacement); }

private:
    struct Sink;

    bool tryConsumeToken();
    void writeLine(Event event, const std::vector<LogField> &fields);

    HostId host;
    Severity threshold;
    LogRateLimit rateLimit;
    double tokens;
    MicrosecondClock clock;
    std::int64_t lastRefillUs = 0; ///< Time of the last refill, by the clock.
    std::int64_t suppressedLines = 0;
    std::unique_ptr<Sink> sink;
};

} // namespace dotterel
