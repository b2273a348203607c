#include "coordination/least_loaded_placement.h"

#include "coordination/placement_candidates.h"

namespace dotterel {

LeastLoadedPlacement::LeastLoadedPlacement(const BackendDirectory &directory, RandomSource &random)
    : directory(directory)
    , random(random)
{}

tl::expected<PlacementChoice, Failure> LeastLoadedPlacement::choose(const PlacementQuery &query,
                                                                    TimePoint now)
{
    const auto candidates = placementCandidates(this->directory, query, now);
    if (!candidates)
        return tl::unexpected(candidates.error());
    const std::size_t offset = this->random.nextBelow(candidates->size());
    const BackendServer *leastLoaded = nullptr;
    for (std::size_t i = 0; i < candidates->size(); ++i) {
        const BackendServer *server = (*candidates)[(offset + i) % candidates->size()];
        if (leastLoaded == nullptr
            || this->queuedTokens[server->id] < this->queuedTokens[leastLoaded->id])
            leastLoaded = server;
    }
    PlacementChoice choice;
    choice.server = leastLoaded->id;
    return choice;
}

void LeastLoadedPlacement::onDispatched(const AttemptId & /*attempt*/,
                                        const PlacementQuery & /*query*/,
                                        const PlacementChoice & /*choice*/, TimePoint /*now*/)
{}

void LeastLoadedPlacement::onFirstToken(const AttemptId & /*attempt*/, TimePoint /*now*/) {}

void LeastLoadedPlacement::onEnded(const AttemptId & /*attempt*/, TimePoint /*now*/) {}

void LeastLoadedPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                        TimePoint /*now*/)
{
    this->queuedTokens[server] = report.queuedPromptTokens;
}

} // namespace dotterel
