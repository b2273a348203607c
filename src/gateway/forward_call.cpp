#include "gateway/forward_call.h"

#include "gateway/response_status.h"

namespace dotterel {

namespace {

/// Minimum and mean timeout that callers send with their first request, as fractions of the
/// route's timeout. A shorter timeout identifies a retry by the caller.
constexpr double MinFirstTimeoutFraction = 0.84;
constexpr double MeanFirstTimeoutFraction = 0.92;
/// Callers abandon a stream after a gap without events that is longer than each of these: a fixed
/// time, a multiple of the latency goal and a multiple of the event gap goal.
constexpr Duration MinStreamAbandonTime = std::chrono::seconds(2);
constexpr int AbandonLatencyGoalFactor = 4;
constexpr int AbandonEventGapGoalFactor = 8;

} // namespace

// A caller that retries sends the rest of its original timeout, whereas the timeouts of first
// requests differ from each other by at most a sixth.
Duration earlierWait(const ForwardCall &call)
{
    if (call.relay)
        return call.relay->waited;
    const Duration routeTimeout = call.route->timeout;
    const Duration callerTimeout = call.metadata.callerTimeout.value_or(routeTimeout);
    if (toSeconds(callerTimeout) >= toSeconds(routeTimeout) * MinFirstTimeoutFraction)
        return Duration::zero();
    return fromSeconds(toSeconds(routeTimeout) * MeanFirstTimeoutFraction) - callerTimeout;
}

Duration streamAbandonTime(const Route &route)
{
    return std::max({MinStreamAbandonTime, route.latencyGoal * AbandonLatencyGoalFactor,
                     route.eventGapGoal * AbandonEventGapGoalFactor});
}

std::string ForwardCall::reservationIdAt(const ServerId &server) const
{
    for (const MemoryReservation &reservation : this->reservations) {
        if (reservation.server == server)
            return reservation.id;
    }
    return {};
}

bool ForwardAttempt::isDiscarded() const
{
    return this->metadata.notRun || this->metadata.isWrongServer || impliesNotRun(this->status)
           || (isSuccess(this->status) && !this->hasGenuineBody());
}

} // namespace dotterel
