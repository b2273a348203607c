#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "core/random_source.h"

#include <map>

namespace dotterel {

/// Chooses the server with the fewest queued tokens in its last load report and breaks ties at
/// random. Does not count requests that this host dispatched since then. Serves as a baseline in
/// benchmarks.
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
