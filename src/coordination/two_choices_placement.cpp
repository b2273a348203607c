#include "coordination/two_choices_placement.h"

#include "coordination/placement_candidates.h"

namespace dotterel {

TwoChoicesPlacement::TwoChoicesPlacement(const BackendDirectory &directory, RandomSource &random,
                                         EnginePriority enginePriority)
    : directory(directory)
    , random(random)
    , enginePriority(enginePriority)
{}

tl::expected<PlacementChoice, Failure> TwoChoicesPlacement::choose(const PlacementQuery &query,
                                                                   TimePoint now)
{
    const auto candidates = placementCandidates(this->directory, query, now);
    if (!candidates)
        return tl::unexpected(candidates.error());
    const std::vector<const BackendServer *> &servers = *candidates;
    const BackendServer *first = servers[this->random.nextBelow(servers.size())];
    const BackendServer *second = servers[this->random.nextBelow(servers.size())];
    const bool takeSecond = this->loadTokens(second->id) < this->loadTokens(first->id);
    PlacementChoice choice;
    choice.server = takeSecond ? second->id : first->id;
    if (this->enginePriority == EnginePriority::ByLength)
        choice.priority = static_cast<std::int64_t>(query.promptTokens);
    return choice;
}

void TwoChoicesPlacement::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                                       const PlacementChoice &choice, TimePoint /*now*/)
{
    this->runningAttempts[attempt] = {choice.server, query.promptTokens};
    this->inFlightTokens[choice.server] += query.promptTokens;
}

void TwoChoicesPlacement::onFirstToken(const AttemptId &attempt, TimePoint /*now*/)
{
    this->removeAttempt(attempt);
}

void TwoChoicesPlacement::onEnded(const AttemptId &attempt, TimePoint /*now*/)
{
    this->removeAttempt(attempt);
}

void TwoChoicesPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                       TimePoint /*now*/)
{
    this->lastReports[server] = report;
}

std::uint64_t TwoChoicesPlacement::loadTokens(const ServerId &server) const
{
    const auto inFlight = this->inFlightTokens.find(server);
    const auto report = this->lastReports.find(server);
    return (inFlight == this->inFlightTokens.end() ? 0 : inFlight->second)
           + (report == this->lastReports.end() ? 0 : report->second.queuedPromptTokens);
}

void TwoChoicesPlacement::removeAttempt(const AttemptId &attempt)
{
    const auto entry = this->runningAttempts.find(attempt);
    if (entry == this->runningAttempts.end())
        return;
    this->inFlightTokens[entry->second.server] -= entry->second.tokens;
    this->runningAttempts.erase(entry);
}

} // namespace dotterel
