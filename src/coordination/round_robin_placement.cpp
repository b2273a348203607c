#include "coordination/round_robin_placement.h"

#include "coordination/placement_candidates.h"

namespace dotterel {

RoundRobinPlacement::RoundRobinPlacement(const BackendDirectory &directory, std::size_t firstIndex)
    : directory(directory)
    , firstIndex(firstIndex)
{}

tl::expected<PlacementChoice, Failure> RoundRobinPlacement::choose(const PlacementQuery &query,
                                                                   TimePoint now)
{
    const auto candidates = placementCandidates(this->directory, query, now);
    if (!candidates)
        return tl::unexpected(candidates.error());
    std::size_t &nextIndex =
            this->nextIndexByPool.try_emplace(query.pool, this->firstIndex).first->second;
    PlacementChoice choice;
    choice.server = candidates->at(nextIndex % candidates->size())->id;
    ++nextIndex;
    return choice;
}

void RoundRobinPlacement::onDispatched(const AttemptId & /*attempt*/,
                                       const PlacementQuery & /*query*/,
                                       const PlacementChoice & /*choice*/, TimePoint /*now*/)
{}

void RoundRobinPlacement::onFirstToken(const AttemptId & /*attempt*/, TimePoint /*now*/) {}

void RoundRobinPlacement::onEnded(const AttemptId & /*attempt*/, TimePoint /*now*/) {}

void RoundRobinPlacement::onLoadReport(const ServerId & /*server*/, const LoadReport & /*report*/,
                                       TimePoint /*now*/)
{}

} // namespace dotterel
