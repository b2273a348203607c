#include "gateway/forward_controller.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Lifetime of a reservation that is not renewed. Memory reserved by a crashed host has to be free
/// again within four seconds.
constexpr Duration ReservationLifetime = std::chrono::milliseconds(3'500);
/// Less than half of the lifetime, so that a reservation survives one lost renewal.
constexpr Duration RenewInterval = std::chrono::milliseconds(1'500);
/// Engines respond to reservations immediately; for the very large prompts that need one, a wait of
/// this length is a small delay.
constexpr Duration GrantTimeout = std::chrono::milliseconds(400);
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);

} // namespace

void ForwardController::reserveMemory(ForwardCall &call, const PromptPlan &plan, TimePoint now)
{
    call.reserving = plan;
    call.ticketsDue = now + GrantTimeout;
    for (const PromptHelper &helper : plan.helpers) {
        if (helper.memoryTokens == 0)
            continue;
        const std::string id =
                "d" + std::to_string(this->sender) + "-" + std::to_string(this->nextTicket++);
        call.tickets.push_back({id, helper.server, helper.memoryTokens, false});
        this->tickets.emplace(id, call.id);
    }
    // Iterates over a copy, since a response may arrive before all reservations are requested and
    // change call.tickets.
    const std::vector<MemoryTicket> requested = call.tickets;
    for (const MemoryTicket &ticket : requested)
        this->orderTicket(ticket);
    this->schedule(call, now);
}

void ForwardController::orderTicket(const MemoryTicket &ticket)
{
    const GatewayServer *server = this->fleet.find(ticket.server);
    if (server == nullptr)
        return;
    this->effects.sendReservationRequest(
            {ticket.id, ticket.server, server->endpoint, ticket.tokens, ReservationLifetime});
}

void ForwardController::onMemoryAnswered(const std::string &id, bool granted, TimePoint now)
{
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end())
        return;
    ForwardCall &call = this->calls.at(found->second);
    for (MemoryTicket &ticket : call.tickets) {
        if (ticket.id == id)
            ticket.granted = granted;
    }
    if (!call.reserving)
        return; // Response to a renewal. If it failed, the engine aborts the prompt itself.
    if (!granted)
        return this->memoryRefused(call, now);
    const bool allGranted = std::all_of(call.tickets.begin(), call.tickets.end(),
                                        [](const MemoryTicket &ticket) { return ticket.granted; });
    if (!allGranted)
        return;
    const PromptPlan plan = *call.reserving;
    call.reserving.reset();
    call.ticketsDue = now + RenewInterval;
    this->sendPrompt(call, plan, now);
}

void ForwardController::memoryRefused(ForwardCall &call, TimePoint now)
{
    std::string servers;
    for (const MemoryTicket &ticket : call.tickets)
        servers += ticket.server + (ticket.granted ? " granted " : " not granted ");
    this->log.write(Event::AllocationReserveFailed,
                    {{"request", call.metadata.requestId},
                     {"prompt_tokens", static_cast<std::int64_t>(call.metadata.promptTokens)},
                     {"servers", servers}});
    this->releaseMemory(call);
    this->refuse(call, Reason::MemoryUnavailable, MemoryRetryAfter, now);
}

bool ForwardController::onTicketsDue(ForwardCall &call, TimePoint now)
{
    if (call.reserving) {
        this->memoryRefused(call, now);
        return false;
    }
    call.ticketsDue = now + RenewInterval;
    for (const MemoryTicket &ticket : call.tickets)
        this->orderTicket(ticket);
    return true;
}

void ForwardController::releaseMemory(ForwardCall &call)
{
    for (const MemoryTicket &ticket : call.tickets) {
        this->tickets.erase(ticket.id);
        if (const GatewayServer *server = this->fleet.find(ticket.server))
            this->effects.sendReservationRequest(
                    {ticket.id, ticket.server, server->endpoint, 0, Duration::zero()});
    }
    call.tickets.clear();
    call.reserving.reset();
}

} // namespace dotterel
