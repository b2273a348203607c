#pragma once

#include "coordination/placement.h"
#include "coordination/placement_settings.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Names a workspace in messages between hosts.
using WorkspaceHash = std::uint32_t;

/// Returns the hash of the workspace called \a name.
WorkspaceHash workspaceHash(const std::string &name);

/// Refuses requests whose deadline cannot be met, and holds back workspaces that use more of the
/// fleet than their share while others need theirs. Pure.
class Admission
{
public:
    explicit Admission(const PlacementSettings &settings);

    /// Takes over the shares of the workspaces.
    void applyConfiguration(const Configuration &configuration);

    /// Work of \a seconds of prefill was dispatched for \a workspace, by any host; less than 0
    /// takes back work that did not run.
    void onDispatched(WorkspaceHash workspace, double seconds, TimePoint now);

    /// Returns true if \a workspace used more than its share, so that its work is refused; the
    /// fleet does \a capacity seconds of prefill a second.
    bool isOverShare(WorkspaceHash workspace, double capacity, TimePoint now);

    /// Returns why a request is refused, if it is. \a allowedWait bounds the predicted time to
    /// the first token, in seconds.
    std::optional<Failure> check(const PlacementQuery &query, double predictedSeconds,
                                 double allowedWait, TimePoint now) const;

    /// The refusal of a request whose workspace is over its share.
    static Failure overShare();

private:
    /// What a workspace used of late.
    struct Usage
    {
        double seconds = 0; ///< Decaying sum of prefill.
        TimePoint updatedAt;

        double at(TimePoint now) const;
    };

    double shareOf(WorkspaceHash workspace) const;
    void updateLevel(double capacity, TimePoint now);

    const PlacementSettings &settings;
    std::unordered_map<WorkspaceHash, double> shares;
    std::unordered_map<WorkspaceHash, Usage> usages; ///< Of workspaces in recent use.
    double level = 0; ///< Seconds of decayed prefill by share that each workspace may have.
    TimePoint levelAt;
};

} // namespace dotterel
