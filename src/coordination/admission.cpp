#include "coordination/admission.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace dotterel {

namespace {

constexpr double UsageWindowSeconds = 30;
constexpr double MostChargedSeconds = 10;  ///< A longer prompt counts as this much.
constexpr double FairTolerance = 0.2;      ///< Overload that all share alike is nobody's excess.
constexpr double ExcessSeconds = 15;       ///< Beyond that; one long prompt is no excess.
constexpr double ForgottenSeconds = 0.001; ///< Of usage that is not worth keeping.
constexpr Duration LevelInterval = std::chrono::milliseconds(250);
constexpr double SafetyFactor = 0.8; ///< Of the time that is left until the deadline.
constexpr double RetryOverShareSeconds = 5;
constexpr double ShortestRetrySeconds = 1;
constexpr double LongestRetrySeconds = 60;

Duration retryAfter(double seconds)
{
    return fromSeconds(std::clamp(seconds, ShortestRetrySeconds, LongestRetrySeconds));
}

} // namespace

WorkspaceHash workspaceHash(const std::string &name)
{
    return hash32(name);
}

double Admission::Usage::at(TimePoint now) const
{
    return this->seconds * std::exp(-toSeconds(now - this->updatedAt) / UsageWindowSeconds);
}

Admission::Admission(const PlacementSettings &settings)
    : settings(settings)
{}

void Admission::applyConfiguration(const Configuration &configuration)
{
    this->shares.clear();
    for (const auto &[name, workspace] : configuration.workspaces)
        this->shares[workspaceHash(name)] = workspace.share;
}

void Admission::onDispatched(WorkspaceHash workspace, double seconds, TimePoint now)
{
    Usage &usage = this->usages[workspace];
    const double charge = std::clamp(seconds, -MostChargedSeconds, MostChargedSeconds);
    usage.seconds = std::max(0.0, usage.at(now) + charge);
    usage.updatedAt = now;
}

bool Admission::isOverShare(WorkspaceHash workspace, double capacity, TimePoint now)
{
    if (!this->settings.workspaceShares)
        return false;
    if (now - this->levelAt > LevelInterval)
        this->updateLevel(capacity, now);
    const auto usage = this->usages.find(workspace);
    if (usage == this->usages.end())
        return false;
    const double fair = this->level * this->shareOf(workspace);
    return usage->second.at(now) > fair * (1 + FairTolerance) + ExcessSeconds;
}

std::optional<Failure> Admission::check(const PlacementQuery &query, double predictedSeconds,
                                        double allowedWait, TimePoint now) const
{
    if (!this->settings.admission)
        return std::nullopt;
    const double decode =
            static_cast<double>(query.maxTokens) * toSeconds(this->settings.tokenInterval);
    const double left = toSeconds(query.deadline - now) * SafetyFactor;
    const double late = std::max(predictedSeconds + decode - left, predictedSeconds - allowedWait);
    if (late <= 0)
        return std::nullopt;
    return Failure{Verdict::NotRun, Reason::DeadlineUnreachable,
                   "the first token is predicted after " + std::to_string(predictedSeconds) + " s",
                   retryAfter(late)};
}

Failure Admission::overShare()
{
    return {Verdict::NotRun, Reason::WorkspaceOverShare,
            "the workspace offers more than its share of a busy fleet",
            retryAfter(RetryOverShareSeconds)};
}

double Admission::shareOf(WorkspaceHash workspace) const
{
    const auto share = this->shares.find(workspace);
    return share == this->shares.end() ? 1 : share->second;
}

void Admission::updateLevel(double capacity, TimePoint now)
{
    this->levelAt = now;
    std::vector<std::pair<double, double>> demands; // Usage by share, and share.
    double sharesLeft = 0;
    for (auto entry = this->usages.begin(); entry != this->usages.end();) {
        const double seconds = entry->second.at(now);
        if (seconds < ForgottenSeconds) {
            entry = this->usages.erase(entry);
            continue;
        }
        const double share = this->shareOf(entry->first);
        demands.emplace_back(seconds / share, share);
        sharesLeft += share;
        ++entry;
    }
    // Max-min fairness: what those below the level leave is divided among the others.
    std::sort(demands.begin(), demands.end());
    double left = capacity * this->settings.shareCapacity * UsageWindowSeconds;
    for (const auto &[demand, share] : demands) {
        this->level = left / sharesLeft;
        if (demand >= this->level)
            return;
        left -= demand * share;
        sharesLeft -= share;
    }
    // Nobody is above the level; a single workspace may take all that is left.
    this->level = std::numeric_limits<double>::max();
}

} // namespace dotterel
