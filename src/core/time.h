#pragma once

#include <chrono>
#include <cstdint>

namespace dotterel {

/// Resolution of every duration in the library.
using Duration = std::chrono::microseconds;

/// Tag of the monotonic time line. It has no `now()`, so that decisions can only be given a time.
struct MonotonicTimeline
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
};

/// A point on the monotonic time line of one process.
using TimePoint = std::chrono::time_point<MonotonicTimeline, Duration>;

/// Milliseconds since the Unix epoch; used only for values that leave the process.
using WallMilliseconds = std::int64_t;

/// Source of time for adapters. Decision classes take a TimePoint instead.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Time on the monotonic time line; never goes back.
    virtual TimePoint now() const = 0;

    /// Wall-clock time; may jump.
    virtual WallMilliseconds wallTime() const = 0;
};

/// Returns \a duration in seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the duration nearest to \a seconds.
constexpr Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

} // namespace dotterel
