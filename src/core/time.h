#pragma once

#include <chrono>
#include <cstdint>

namespace dotterel {

/// Duration type used throughout the library.
using Duration = std::chrono::microseconds;

/// Clock tag of monotonic time. It has no `now()`, so decision code cannot read the time and has to
/// receive it as an argument.
struct MonotonicClockTag
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
};

/// A point in monotonic time, valid within one process.
using TimePoint = std::chrono::time_point<MonotonicClockTag, Duration>;

/// Milliseconds since the Unix epoch; only for values that leave the process.
using WallMilliseconds = std::int64_t;

/// Time source for adapters. Decision classes receive a TimePoint instead.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Returns the monotonic time, which never decreases.
    virtual TimePoint now() const = 0;

    /// Returns the wall-clock time, which can jump.
    virtual WallMilliseconds wallTime() const = 0;
};

/// Returns \a duration in seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Converts \a seconds to a duration, truncated to microseconds.
constexpr Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

} // namespace dotterel
