#pragma once

#include "coordination/placement.h"
#include "coordination/placement_settings.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Identifies a workspace in messages between hosts.
using WorkspaceHash = std::uint32_t;

WorkspaceHash workspaceHash(const std::string &name);

/// Admission control: refuses requests whose deadline cannot be met, and requests of workspaces
/// that use more than their fair share of the fleet while other workspaces need theirs.
/// Deterministic: performs no I/O and reads no clock.
class Admission
{
public:
    explicit Admission(const PlacementSettings &settings);

    /// Replaces the workspace shares by those of \a configuration.
    void applyConfiguration(const Configuration &configuration);

    /// Charges \a seconds of prefill, dispatched by any host, to \a workspace. A negative value
    /// refunds work that did not run.
    void onDispatched(WorkspaceHash workspace, double seconds, TimePoint now);

    /// Returns true if \a workspace used more than its fair share, so that its requests are
    /// refused. \a capacity is the throughput of the fleet, in seconds of prefill per second.
    bool isOverShare(WorkspaceHash workspace, double capacity, TimePoint now);

    /// Returns a failure if \a query cannot meet its deadline, or if the predicted time to the
    /// first token exceeds \a allowedWait seconds.
    std::optional<Failure> checkDeadline(const PlacementQuery &query, double predictedSeconds,
                                         double allowedWait, TimePoint now) const;

    /// Returns the failure for a request whose workspace is over its fair share.
    static Failure overShareFailure();

private:
    /// Recent use of the fleet by one workspace.
    struct Usage
    {
        double seconds = 0; ///< Exponentially decaying sum of prefill.
        TimePoint updatedAt;

        double decayedSeconds(TimePoint now) const;
    };

    double shareOf(WorkspaceHash workspace) const;
    void updateFairLevel(double capacity, TimePoint now);

    const PlacementSettings &settings;
    std::unordered_map<WorkspaceHash, double> shares;
    std::unordered_map<WorkspaceHash, Usage> workspaceUsage; ///< Only workspaces with recent use.
    double fairLevel = 0; ///< Max-min fair usage per unit of share, in seconds of decayed prefill.
    TimePoint fairLevelUpdatedAt;
};

} // namespace dotterel
