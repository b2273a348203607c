#include "gateway/forward_controller.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Lifetime of a reservation that is not renewed. Memory reserved by a crashed host has to be free
/// again within four seconds.
constexpr Duration ReservationLifetime = std::chrono::milliseconds(3'500);
/// Less than half of the lifetime, so that a reservation survives one lost renewal.
constexpr Duration RenewInterval = std::chrono::milliseconds(1'500);
/// Engines respond to reservation requests immediately. Only very large prompts need a reservation,
/// for which a wait of this length is a small delay.
constexpr Duration GrantTimeout = std::chrono::milliseconds(400);
/// Memory expires by itself this much later if no release reaches its engine.
constexpr Duration UnusedExpiryMargin = std::chrono::milliseconds(500);
/// Plans that are tried if engines refuse memory, each without the engines that refused before.
constexpr std::size_t MaxReservationRounds = 6;
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);

} // namespace

void ForwardController::reserveMemory(ForwardCall &call, const PromptPlan &plan, TimePoint now)
{
    call.pendingPlan = plan;
    call.reservedAt = now;
    call.reservationsDue = now + GrantTimeout;
    if (plan.reservesMemory)
        this->addReservation(call, plan.server, plan.memoryTokens);
    for (const PrefillHelper &helper : plan.helpers) {
        if (helper.memoryTokens > 0)
            this->addReservation(call, helper.server, helper.memoryTokens);
    }
    this->requestReservations(call, now);
    this->scheduleTimer(call, now);
}

void ForwardController::addReservation(ForwardCall &call, const ServerId &server,
                                       std::uint64_t tokens)
{
    MemoryReservation reservation;
    reservation.id = "d" + std::to_string(this->senderHash) + "-"
                     + std::to_string(this->nextReservationNumber++);
    reservation.server = server;
    reservation.tokens = tokens;
    call.reservations.push_back(reservation);
    this->callsByReservation.emplace(reservation.id, call.id);
}

void ForwardController::requestReservations(ForwardCall &call, TimePoint now)
{
    const bool isUsed = call.attempt && call.attempt->firstEventReceived;
    const Duration unusedTimeLeft =
            call.reservedAt + MaxUnusedMemoryTime + UnusedExpiryMargin - now;
    const Duration lifetime =
            isUsed ? ReservationLifetime : std::min(ReservationLifetime, unusedTimeLeft);
    std::vector<MemoryReservation> ordered;
    for (MemoryReservation &reservation : call.reservations) {
        if (this->fleet.find(reservation.server) == nullptr
            || !this->fleet.tryContact(reservation.server, now))
            continue;
        // The engine has cut a prompt off whose memory has expired; the memory would be new.
        if (call.attempt && now - reservation.orderedAt >= ReservationLifetime)
            continue;
        ++reservation.unansweredOrders;
        reservation.orderedAt = now;
        ordered.push_back(reservation);
    }
    // Iterates over copies, since a response that arrives before all orders are sent may change
    // call.reservations.
    for (const MemoryReservation &reservation : ordered) {
        const GatewayServer *server = this->fleet.find(reservation.server);
        this->effects.sendReservationRequest({reservation.id, reservation.server, server->endpoint,
                                              reservation.tokens, lifetime});
        this->countAgainstLimit(reservation.server, now);
    }
}

void ForwardController::onReservationResult(const std::string &reservationId, bool granted,
                                            TimePoint now)
{
    const auto found = this->callsByReservation.find(reservationId);
    if (found == this->callsByReservation.end()) {
        this->memoryReleases.onReserved(reservationId, granted, now);
        return this->sendDueReleases(now);
    }
    ForwardCall &call = this->calls.at(found->second);
    ServerId server;
    for (MemoryReservation &reservation : call.reservations) {
        if (reservation.id != reservationId)
            continue;
        // This host may have been paused since it sent the order.
        const bool isExpired = now - reservation.orderedAt >= ReservationLifetime;
        granted = granted && !(call.pendingPlan && isExpired);
        reservation.granted = granted;
        if (reservation.unansweredOrders > 0)
            --reservation.unansweredOrders;
        server = reservation.server;
    }
    if (!call.pendingPlan)
        return; // Response to a renewal. If it failed, the engine aborts the prompt itself.
    if (!granted)
        return this->onMemoryUnavailable(call, server, now);
    const bool allGranted =
            std::all_of(call.reservations.begin(), call.reservations.end(),
                        [](const MemoryReservation &reservation) { return reservation.granted; });
    if (!allGranted)
        return;
    // A failure domain may have gone out of service while the engines answered, or another host
    // may have sent a prompt to them.
    if (this->isPlanOutOfService(*call.pendingPlan) || this->hasPlanBecomeCostly(call, now)) {
        ++call.reservationRounds;
        this->releaseReservations(call, now);
        return this->dispatch(call, now);
    }
    const PromptPlan plan = *call.pendingPlan;
    call.pendingPlan.reset();
    call.reservationsDue = now + RenewInterval;
    this->sendPrompt(call, plan, now);
}

void ForwardController::onReservationUnanswered(const std::string &reservationId, TimePoint now)
{
    const auto found = this->callsByReservation.find(reservationId);
    if (found == this->callsByReservation.end())
        return;
    ForwardCall &call = this->calls.at(found->second);
    if (call.pendingPlan)
        this->onMemoryUnavailable(call, ServerId(), now);
}

void ForwardController::onMemoryReleased(const std::string &reservationId, TimePoint now)
{
    this->memoryReleases.onReleased(reservationId, now);
}

bool ForwardController::isPlanOutOfService(const PromptPlan &plan) const
{
    const auto isOut = [this](const ServerId &id) {
        const GatewayServer *server = this->fleet.find(id);
        return server != nullptr && this->fleet.isOutOfService(*server);
    };
    return isOut(plan.server)
           || std::any_of(plan.helpers.begin(), plan.helpers.end(),
                          [&isOut](const PrefillHelper &helper) { return isOut(helper.server); });
}

bool ForwardController::hasPlanBecomeCostly(const ForwardCall &call, TimePoint now)
{
    const auto pool = call.configuration->pools.find(call.pool);
    // The last plan is carried out rather than refused.
    return call.reservationRounds + 1 < MaxReservationRounds
           && pool != call.configuration->pools.end() && pool->second.engine
           && this->promptPlacement.hasBecomeCostly(pool->second, call.demand, *call.pendingPlan,
                                                    now);
}

void ForwardController::onMemoryUnavailable(ForwardCall &call, const ServerId &refusedBy,
                                            TimePoint now)
{
    std::string servers;
    std::vector<MemoryReservation> unanswered;
    for (const MemoryReservation &reservation : call.reservations) {
        servers += reservation.server + (reservation.granted ? " granted " : " not granted ");
        const bool unavailable =
                refusedBy.empty() ? !reservation.granted : reservation.server == refusedBy;
        if (unavailable)
            this->promptPlacement.onMemoryRefused(reservation.server, now);
        if (unavailable && refusedBy.empty())
            unanswered.push_back(reservation);
    }
    this->log.write(Event::AllocationReserveFailed,
                    {{"request", call.metadata.requestId},
                     {"prompt_tokens", static_cast<std::int64_t>(call.metadata.promptTokens)},
                     {"round", static_cast<std::int64_t>(call.reservationRounds)},
                     {"servers", servers}});
    for (const MemoryReservation &reservation : unanswered)
        this->recordUnansweredOrder(call, reservation, now);
    this->releaseReservations(call, now);
    if (++call.reservationRounds < MaxReservationRounds)
        return this->dispatch(call, now);
    this->refuse(call, Reason::MemoryUnavailable, MemoryRetryAfter, now);
}

void ForwardController::recordUnansweredOrder(ForwardCall &call,
                                              const MemoryReservation &reservation, TimePoint now)
{
    const ServerId &server = reservation.server;
    const TimePoint orderedAt = reservation.orderedAt;
    const GatewayServer *known = this->fleet.find(server);
    if (known == nullptr || orderedAt == TimePoint() || now - orderedAt < GrantTimeout)
        return;
    // This host itself may have been paused, and has not read the answers yet.
    if (now - orderedAt > GrantTimeout + MaxTimerDelay)
        return;
    call.triedServers.insert(server);
    // An engine that sends anything else is only slow at granting.
    const std::optional<TimePoint> lastSign = this->fleet.lastOwnSign(server);
    if (lastSign && *lastSign > orderedAt)
        return;
    this->avoidSilentDomain(call, known->failureDomain, orderedAt, now);
    this->fleet.onAttemptOutcome(server, AttemptOutcome::Silent, now, orderedAt);
    this->recordPathFailure(call, server, true, orderedAt, now);
}

void ForwardController::avoidSilentDomain(ForwardCall &call, const std::string &domain,
                                          TimePoint since, TimePoint now)
{
    std::vector<ServerId> servers;
    for (const GatewayServer *server : this->fleet.all(now)) {
        if (server->failureDomain != domain || server->pool != call.pool)
            continue;
        const std::optional<TimePoint> lastSign = this->fleet.lastOwnSign(server->id);
        if (lastSign && *lastSign > since)
            return;
        servers.push_back(server->id);
    }
    call.triedServers.insert(servers.begin(), servers.end());
}

bool ForwardController::onReservationsDue(ForwardCall &call, TimePoint now)
{
    if (call.pendingPlan) {
        this->onMemoryUnavailable(call, ServerId(), now);
        return false;
    }
    const bool isUnused = call.attempt && !call.attempt->firstEventReceived;
    if (isUnused && now >= call.reservedAt + MaxUnusedMemoryTime) {
        this->giveUpUnusedMemory(call, now);
        return false;
    }
    call.reservationsDue = now + RenewInterval;
    if (isUnused)
        call.reservationsDue =
                std::min(call.reservationsDue, call.reservedAt + MaxUnusedMemoryTime);
    this->requestReservations(call, now);
    return true;
}

void ForwardController::giveUpUnusedMemory(ForwardCall &call, TimePoint now)
{
    this->logFailedAttempt(call, "memory_unused", Verdict::MayHaveRun, now);
    this->abandonAttempt(call, now);
    this->retryOrRefuse(call, {Verdict::MayHaveRun, RetryReason::FirstTokenTimeout}, now);
}

void ForwardController::releaseReservations(ForwardCall &call, TimePoint now)
{
    for (const MemoryReservation &reservation : call.reservations) {
        this->callsByReservation.erase(reservation.id);
        if (reservation.orderedAt != TimePoint())
            this->memoryReleases.add(reservation, now);
    }
    call.reservations.clear();
    call.pendingPlan.reset();
    this->sendDueReleases(now);
}

void ForwardController::sendDueReleases(TimePoint now)
{
    for (const MemoryReservation &reservation : this->memoryReleases.takeDue(now)) {
        const GatewayServer *server = this->fleet.find(reservation.server);
        // A reservation that is not released expires.
        if (server == nullptr || !this->fleet.tryContact(reservation.server, now))
            continue;
        this->effects.sendReservationRequest(
                {reservation.id, reservation.server, server->endpoint, 0, Duration::zero()});
        this->countAgainstLimit(reservation.server, now);
    }
}

} // namespace dotterel
