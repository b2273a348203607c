// The part of ServerFleet that looks after servers that have just started or recovered.

#include "gateway/server_fleet.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Part of the failures of a server that remains with each first event in time on the way back: the
/// window keeps it from a rush, so that what was before need not.
constexpr double RemainingFailures = 0.5;

} // namespace

void ServerFleet::setPools(const std::map<std::string, ServerPool> &pools)
{
    this->warmUps.setPools(pools);
}

bool ServerFleet::hasStartedNow(const GatewayServer &server, TimePoint now) const
{
    const auto departure = this->departures.find(server.id);
    if (departure != this->departures.end() && departure->second.incarnation == server.incarnation)
        return false;
    // What a host lists first has been there before it.
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto &entry) {
        return entry.second.server.pool == server.pool && entry.second.knownSince < now;
    });
}

void ServerFleet::applyWarmUp(const GatewayServer &server, TimePoint now)
{
    if (const std::optional<WarmUpTerm> term = this->warmUps.term(server))
        this->serverLimits.setWarmUp(server.id, server.incarnation, *term, now);
}

bool ServerFleet::onWarmUpAnswer(const ServerId &server, Duration left, TimePoint sentAt,
                                 TimePoint now)
{
    const GatewayServer *known = this->find(server);
    if (known == nullptr || !this->warmUps.onAnswer(*known, left, sentAt, now))
        return false;
    this->applyWarmUp(*known, now);
    return true;
}

void ServerFleet::onWarmUpNotice(const ServerId &server, std::uint32_t senderHash,
                                 const ServerWarmUpNotice &notice, TimePoint now)
{
    const GatewayServer *known = this->find(server);
    if (known == nullptr || known->incarnation != notice.incarnation)
        return;
    if (this->warmUps.onNotice(*known, notice, now))
        this->applyWarmUp(*known, now);
    this->serverLimits.onSentElsewhere(server, notice.incarnation, senderHash, notice.sent, now);
}

std::optional<ServerWarmUpNotice> ServerFleet::warmUpNotice(const ServerId &server,
                                                            TimePoint now) const
{
    const GatewayServer *known = this->find(server);
    if (known == nullptr)
        return std::nullopt;
    std::optional<ServerWarmUpNotice> notice = this->warmUps.notice(*known, now);
    if (notice)
        notice->sent = this->serverLimits.sentCount(server);
    return notice;
}

std::vector<ServerWarmUpNotice> ServerFleet::warmUpNotices(TimePoint now) const
{
    std::vector<ServerWarmUpNotice> notices;
    for (const auto &[id, record] : this->records) {
        if (!this->warmUps.isWarmingUp(record.server, now))
            continue;
        if (const std::optional<ServerWarmUpNotice> notice = this->warmUpNotice(id, now))
            notices.push_back(*notice);
    }
    return notices;
}

bool ServerFleet::isWarmingUp(const ServerId &server, TimePoint now) const
{
    const GatewayServer *known = this->find(server);
    return known != nullptr && this->warmUps.isWarmingUp(*known, now);
}

bool ServerFleet::concernsIncarnation(const Record &record, AttemptOutcome outcome,
                                      std::optional<TimePoint> sentAt) const
{
    // What an earlier incarnation left unanswered says nothing of this one.
    const bool isEarlier = sentAt && *sentAt < record.knownSince;
    return !isEarlier || outcome == AttemptOutcome::Leaving
           || this->timings.pace.initialWindow == 0;
}

void ServerFleet::updatePace(const Record &record, AttemptOutcome outcome, TimePoint now)
{
    const GatewayServer &server = record.server;
    if (outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Leaving)
        this->serverPace.onSetback(server.id, now);
    else if (outcome == AttemptOutcome::Answered && record.suspicions > 0
             && !this->serverPace.window(server.id, now))
        this->serverPace.start(server.id, server.slots, PaceReason::Recovered, now);
}

void ServerFleet::onPromptDispatched(const ServerId &server, const EnginePrompt &prompt,
                                     TimePoint now)
{
    this->serverPace.onDispatched(server, prompt.key,
                                  prompt.dispatchedAt + prompt.demand.firstEventTarget, now);
}

void ServerFleet::onPromptFirstEvent(const PromptKey &key, TimePoint now)
{
    const std::optional<ServerId> server = this->serverPace.onFirstEvent(key, now);
    const auto found = server ? this->records.find(*server) : this->records.end();
    if (found != this->records.end())
        found->second.failures *= RemainingFailures;
}

} // namespace dotterel
