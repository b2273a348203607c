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
    const BackendServer *first = servers[this->random.below(servers.size())];
    const BackendServer *second = servers[this->random.below(servers.size())];
    const bool takeSecond = this->load(second->id) < this->load(first->id);
    PlacementChoice choice;
    choice.server = takeSecond ? second->id : first->id;
    if (this->enginePriority == EnginePriority::ByLength)
        choice.priority = static_cast<std::int64_t>(query.promptTokens);
    return choice;
}

void TwoChoicesPlacement::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                                       const PlacementChoice &choice, TimePoint /*now*/)
{
    this->running[attempt] = {choice.server, query.promptTokens};
    this->sentTokens[choice.server] += query.promptTokens;
}

void TwoChoicesPlacement::onFirstToken(const AttemptId &attempt, TimePoint /*now*/)
{
    this->forget(attempt);
}

void TwoChoicesPlacement::onEnded(const AttemptId &attempt, TimePoint /*now*/)
{
    this->forget(attempt);
}

void TwoChoicesPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                       TimePoint /*now*/)
{
    this->reports[server] = report;
}

std::uint64_t TwoChoicesPlacement::load(const ServerId &server) const
{
    const auto inFlight = this->sentTokens.find(server);
    const auto report = this->reports.find(server);
    return (inFlight == this->sentTokens.end() ? 0 : inFlight->second)
           + (report == this->reports.end() ? 0 : report->second.queuedPromptTokens);
}

void TwoChoicesPlacement::forget(const AttemptId &attempt)
{
    const auto entry = this->running.find(attempt);
    if (entry == this->running.end())
        return;
    this->sentTokens[entry->second.server] -= entry->second.tokens;
    this->running.erase(entry);
}

} // namespace dotterel
