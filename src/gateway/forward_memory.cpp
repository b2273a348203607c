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
/// Plans that are tried if engines refuse memory, each without the engines that refused before.
constexpr std::size_t MaxReservationRounds = 3;
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);

} // namespace

void ForwardController::reserveMemory(ForwardCall &call, const PromptPlan &plan, TimePoint now)
{
    call.pendingPlan = plan;
    call.reservationsDue = now + GrantTimeout;
    for (const PrefillHelper &helper : plan.helpers) {
        if (helper.memoryTokens == 0)
            continue;
        const std::string reservationId = "d" + std::to_string(this->senderHash) + "-"
                                          + std::to_string(this->nextReservationNumber++);
        call.reservations.push_back({reservationId, helper.server, helper.memoryTokens, false});
        this->callsByReservation.emplace(reservationId, call.id);
    }
    // Iterates over a copy, since a response that arrives before all reservations are requested may
    // change call.reservations.
    const std::vector<MemoryReservation> requested = call.reservations;
    for (const MemoryReservation &reservation : requested)
        this->requestReservation(reservation, now);
    this->scheduleTimer(call, now);
}

void ForwardController::requestReservation(const MemoryReservation &reservation, TimePoint now)
{
    const GatewayServer *server = this->fleet.find(reservation.server);
    if (server == nullptr || !this->fleet.tryContact(reservation.server, now))
        return;
    this->effects.sendReservationRequest({reservation.id, reservation.server, server->endpoint,
                                          reservation.tokens, ReservationLifetime});
    this->countAgainstLimit(reservation.server, now);
}

void ForwardController::onReservationResult(const std::string &reservationId, bool granted,
                                            TimePoint now)
{
    const auto found = this->callsByReservation.find(reservationId);
    if (found == this->callsByReservation.end())
        return;
    ForwardCall &call = this->calls.at(found->second);
    ServerId server;
    for (MemoryReservation &reservation : call.reservations) {
        if (reservation.id != reservationId)
            continue;
        reservation.granted = granted;
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
    // A failure domain may have gone out of service while the engines answered.
    if (this->isPlanOutOfService(*call.pendingPlan)) {
        this->releaseReservations(call, now);
        return this->dispatch(call, now);
    }
    const PromptPlan plan = *call.pendingPlan;
    call.pendingPlan.reset();
    call.reservationsDue = now + RenewInterval;
    this->sendPrompt(call, plan, now);
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

void ForwardController::onMemoryUnavailable(ForwardCall &call, const ServerId &refusedBy,
                                            TimePoint now)
{
    std::string servers;
    for (const MemoryReservation &reservation : call.reservations) {
        servers += reservation.server + (reservation.granted ? " granted " : " not granted ");
        const bool unavailable =
                refusedBy.empty() ? !reservation.granted : reservation.server == refusedBy;
        if (unavailable)
            this->promptPlacement.onMemoryRefused(reservation.server, now);
    }
    this->log.write(Event::AllocationReserveFailed,
                    {{"request", call.metadata.requestId},
                     {"prompt_tokens", static_cast<std::int64_t>(call.metadata.promptTokens)},
                     {"round", static_cast<std::int64_t>(call.reservationRounds)},
                     {"servers", servers}});
    this->releaseReservations(call, now);
    if (++call.reservationRounds < MaxReservationRounds)
        return this->dispatch(call, now);
    this->refuse(call, Reason::MemoryUnavailable, MemoryRetryAfter, now);
}

bool ForwardController::onReservationsDue(ForwardCall &call, TimePoint now)
{
    if (call.pendingPlan) {
        this->onMemoryUnavailable(call, ServerId(), now);
        return false;
    }
    call.reservationsDue = now + RenewInterval;
    for (const MemoryReservation &reservation : call.reservations)
        this->requestReservation(reservation, now);
    return true;
}

void ForwardController::releaseReservations(ForwardCall &call, TimePoint now)
{
    for (const MemoryReservation &reservation : call.reservations) {
        this->callsByReservation.erase(reservation.id);
        const GatewayServer *server = this->fleet.find(reservation.server);
        // A reservation that is not released expires.
        if (server == nullptr || !this->fleet.tryContact(reservation.server, now))
            continue;
        this->effects.sendReservationRequest(
                {reservation.id, reservation.server, server->endpoint, 0, Duration::zero()});
        this->countAgainstLimit(reservation.server, now);
    }
    call.reservations.clear();
    call.pendingPlan.reset();
}

} // namespace dotterel
