#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"

#include <map>

namespace dotterel {

/// Chooses the usable servers of a pool in round-robin order. Serves as a baseline in benchmarks.
class RoundRobinPlacement : public Placement
{
public:
    /// \a firstIndex is the index of the server at which each pool starts.
    RoundRobinPlacement(const BackendDirectory &directory, std::size_t firstIndex);

    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;

private:
    const BackendDirectory &directory;
    std::size_t firstIndex;
    std::map<std::string, std::size_t> nextIndexByPool;
};

} // namespace dotterel
