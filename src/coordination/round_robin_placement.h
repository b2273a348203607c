#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"

#include <map>

namespace dotterel {

/// Takes the usable servers of a pool in turn. A baseline for measurements.
class RoundRobinPlacement : public Placement
{
public:
    /// Begins each pool at its server number \a first.
    RoundRobinPlacement(const BackendDirectory &directory, std::size_t first);

    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;

private:
    const BackendDirectory &directory;
    std::size_t first;
    std::map<std::string, std::size_t> nextOfPool;
};

} // namespace dotterel
