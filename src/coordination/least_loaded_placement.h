#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "core/random_source.h"

#include <map>

namespace dotterel {

/// Takes the server that last reported the fewest queued tokens, ties at random, and counts nothing
/// of its own. A baseline for measurements.
class LeastLoadedPlacement : public Placement
{
public:
    LeastLoadedPlacement(const BackendDirectory &directory, RandomSource &random);

    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;

private:
    const BackendDirectory &directory;
    RandomSource &random;
    std::map<ServerId, std::uint64_t> queuedTokens;
};

} // namespace dotterel
