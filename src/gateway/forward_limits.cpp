// The part of ForwardController that keeps requests within the limits that servers name.

#include "gateway/forward_controller.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Parts of the latency goal, and of the time until a caller abandons its stream, for which a
/// request may wait until a server takes it within its limit.
constexpr double UsableGoalFraction = 0.5;
constexpr double UsableGapFraction = 0.5;
/// A request may wait this long for a pool whose servers lift their limits.
constexpr Duration MaxLiftingWait = std::chrono::milliseconds(600);

} // namespace

bool ForwardController::holdForLimit(ForwardCall &call, TimePoint now)
{
    const std::optional<TimePoint> opening = this->fleet.limitOpening(call.pool, now);
    if (!opening)
        return false;
    Duration usableTime =
            call.responseStarted
                    ? fromSeconds(toSeconds(streamAbandonTime(*call.route)) * UsableGapFraction)
                    : fromSeconds(toSeconds(call.route->latencyGoal) * UsableGoalFraction)
                              - earlierWait(call);
    // Its servers open one after the other within this time.
    if (this->fleet.isLimitLifting(call.pool, now))
        usableTime = std::max(usableTime, MaxLiftingWait);
    const TimePoint lastUse =
            (call.responseStarted ? call.lastEventAt : call.arrivedAt) + usableTime;
    if (*opening > lastUse || *opening + MinAttemptTime > call.deadline)
        return false;
    call.heldUntil = *opening;
    call.heldTime += *opening - now;
    this->scheduleTimer(call, now);
    return true;
}

void ForwardController::refuseWithoutServer(ForwardCall &call, TimePoint now,
                                            const std::string &detail)
{
    if (!this->fleet.limitOpening(call.pool, now))
        return this->refuse(call, Reason::NoBackendServer, this->delayWithoutServer(call.pool, now),
                            now, detail);
    const double rateOfHost =
            this->fleet.limitedRate(call.pool, now) / static_cast<double>(this->hostCount);
    const Duration delay =
            this->returnSchedule.book(call.pool, rateOfHost, call.deadline - now, now);
    this->refuse(call, Reason::ServersLimited, delay, now, detail);
}

void ForwardController::countAgainstLimit(const ServerId &server, TimePoint now)
{
    if (!this->fleet.limits().onSent(server, now))
        return;
    this->publishLimit(server);
    if (this->fleet.isWarmingUp(server, now))
        this->publishWarmUp(server, now);
}

void ForwardController::publishWarmUp(const ServerId &server, TimePoint now)
{
    if (const std::optional<ServerWarmUpNotice> notice = this->fleet.warmUpNotice(server, now))
        this->effects.publishServerWarmUp(*notice);
}

void ForwardController::publishLimit(const ServerId &server)
{
    if (const std::optional<ServerLimitNotice> notice = this->fleet.limits().notice(server))
        this->effects.publishServerLimit(*notice);
}

} // namespace dotterel
