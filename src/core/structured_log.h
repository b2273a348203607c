#pragma once

#include "core/event_log.h"
#include "core/identity.h"

#include <functional>
#include <memory>

namespace dotterel {

/// Bounds on what a StructuredLog writes.
struct LogRate
{
    double linesPerSecond = 400; ///< Several times what a host logs under its usual load.
    double burst = 2'000;        ///< A change of every server and member at once.
};

/// Writes each event as one line of JSON to standard output, through Boost.Log. Lines beyond the
/// rate are left out and counted in a line of their own.
class StructuredLog : public EventLog
{
public:
    /// Returns monotonic microseconds.
    using Clock = std::function<std::int64_t()>;

    /// Writes events of \a threshold and above, each with the name of \a host.
    StructuredLog(HostId host, Severity threshold, const LogRate &rate = LogRate{});
    ~StructuredLog() override;

    void write(Event event, const std::vector<LogField> &fields) override;

    /// Replaces the clock of the rate.
    void setClock(Clock replacement) { this->clock = std::move(replacement); }

private:
    struct Sink;

    bool admit();
    void writeLine(Event event, const std::vector<LogField> &fields);

    HostId host;
    Severity threshold;
    LogRate rate;
    double allowance;
    Clock clock;
    std::int64_t filledAt = 0; ///< By the clock.
    std::int64_t suppressed = 0;
    std::unique_ptr<Sink> sink;
};

} // namespace dotterel
