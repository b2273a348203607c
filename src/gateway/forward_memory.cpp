#include "gateway/forward_controller.h"

#include <algorithm>

namespace dotterel {

namespace {

/// How long an engine keeps a reservation that is not renewed. Memory whose host has died must be
/// free within four seconds.
constexpr Duration HoldTime = std::chrono::milliseconds(3'500);
/// Between two renewals: one may be lost.
constexpr Duration RenewInterval = std::chrono::milliseconds(1'500);
/// An engine grants memory at once; a giant prompt loses little by this wait.
constexpr Duration GrantTimeout = std::chrono::milliseconds(400);
constexpr Duration MemoryRetryAfter = std::chrono::seconds(1);

} // namespace

void ForwardController::reserveMemory(ForwardCall &call, const PromptPlan &plan, TimePoint now)
{
    call.reserving = plan;
    call.ticketsDue = now + GrantTimeout;
    for (const PrefillHelper &helper : plan.helpers) {
        if (helper.memoryTokens == 0)
            continue;
        const std::string id =
                "d" + std::to_string(this->sender) + "-" + std::to_string(this->nextTicket++);
        call.tickets.push_back({id, helper.server, helper.memoryTokens, false});
        this->tickets.emplace(id, call.id);
    }
    // Copied, since an answer may come before all are asked.
    const std::vector<MemoryTicket> asked = call.tickets;
    for (const MemoryTicket &ticket : asked)
        this->orderTicket(ticket);
    this->schedule(call, now);
}

void ForwardController::orderTicket(const MemoryTicket &ticket)
{
    const GatewayServer *server = this->fleet.find(ticket.server);
    if (server == nullptr)
        return;
    this->effects.orderMemory(
            {ticket.id, ticket.server, server->endpoint, ticket.tokens, HoldTime});
}

void ForwardController::onMemoryAnswered(const std::string &id, bool granted, TimePoint now)
{
    const auto owner = this->tickets.find(id);
    if (owner == this->tickets.end())
        return;
    ForwardCall &call = this->calls.at(owner->second);
    for (MemoryTicket &ticket : call.tickets) {
        if (ticket.id == id)
            ticket.granted = granted;
    }
    if (!call.reserving)
        return; // A renewal; if it fails the engine cuts the prompt off, which is seen there.
    if (!granted)
        return this->memoryRefused(call, now);
    const bool all = std::all_of(call.tickets.begin(), call.tickets.end(),
                                 [](const MemoryTicket &ticket) { return ticket.granted; });
    if (!all)
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
                    {{"request", call.facts.requestId},
                     {"prompt_tokens", static_cast<std::int64_t>(call.facts.promptTokens)},
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
            this->effects.orderMemory(
                    {ticket.id, ticket.server, server->endpoint, 0, Duration::zero()});
    }
    call.tickets.clear();
    call.reserving.reset();
}

} // namespace dotterel
