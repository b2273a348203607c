#include "coordination/admission.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace dotterel {

namespace {

constexpr double UsageWindowSeconds = 30;
constexpr double MaxChargeSeconds = 10; ///< Upper bound of the charge for one prompt.
/// Overload that affects all workspaces alike is not refused.
constexpr double FairShareTolerance = 0.2;
/// On top of the tolerance, so that one long prompt is not refused.
constexpr double BurstAllowanceSeconds = 15;
constexpr double MinTrackedUsageSeconds = 0.001; ///< Usage below this is removed.
constexpr Duration FairLevelUpdateInterval = std::chrono::milliseconds(250);
/// Fraction of the time until the deadline that is planned for.
constexpr double DeadlineSafetyFactor = 0.8;
constexpr double OverShareRetrySeconds = 5;
constexpr double MinRetrySeconds = 1;
constexpr double MaxRetrySeconds = 60;

Duration retryAfter(double seconds)
{
    return fromSeconds(std::clamp(seconds, MinRetrySeconds, MaxRetrySeconds));
}

} // namespace

WorkspaceHash workspaceHash(const std::string &name)
{
    return hash32(name);
}

double Admission::Usage::decayedSeconds(TimePoint now) const
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
    Usage &usage = this->workspaceUsage[workspace];
    const double charge = std::clamp(seconds, -MaxChargeSeconds, MaxChargeSeconds);
    usage.seconds = std::max(0.0, usage.decayedSeconds(now) + charge);
    usage.updatedAt = now;
}

bool Admission::isOverShare(WorkspaceHash workspace, double capacity, TimePoint now)
{
    if (!this->settings.enforceWorkspaceShares)
        return false;
    if (now - this->fairLevelUpdatedAt > FairLevelUpdateInterval)
        this->updateFairLevel(capacity, now);
    const auto usage = this->workspaceUsage.find(workspace);
    if (usage == this->workspaceUsage.end())
        return false;
    const double fairUsage = this->fairLevel * this->shareOf(workspace);
    return usage->second.decayedSeconds(now)
           > fairUsage * (1 + FairShareTolerance) + BurstAllowanceSeconds;
}

std::optional<Failure> Admission::checkDeadline(const PlacementQuery &query,
                                                double predictedSeconds, double allowedWait,
                                                TimePoint now) const
{
    if (!this->settings.refuseUnreachableDeadlines)
        return std::nullopt;
    const double decodeSeconds =
            static_cast<double>(query.maxTokens) * toSeconds(this->settings.tokenInterval);
    const double availableSeconds = toSeconds(query.deadline - now) * DeadlineSafetyFactor;
    const double excessSeconds = std::max(predictedSeconds + decodeSeconds - availableSeconds,
                                          predictedSeconds - allowedWait);
    if (excessSeconds <= 0)
        return std::nullopt;
    return Failure{Verdict::NotRun, Reason::DeadlineUnreachable,
                   "the first token is predicted only after " + std::to_string(predictedSeconds)
                           + " s",
                   retryAfter(excessSeconds)};
}

Failure Admission::overShareFailure()
{
    return {Verdict::NotRun, Reason::WorkspaceOverShare,
            "the workspace uses more than its share while the fleet is busy",
            retryAfter(OverShareRetrySeconds)};
}

double Admission::shareOf(WorkspaceHash workspace) const
{
    const auto share = this->shares.find(workspace);
    return share == this->shares.end() ? 1 : share->second;
}

void Admission::updateFairLevel(double capacity, TimePoint now)
{
    this->fairLevelUpdatedAt = now;
    std::vector<std::pair<double, double>> usagesByShare; // Usage divided by share, and share.
    double remainingShares = 0;
    for (auto entry = this->workspaceUsage.begin(); entry != this->workspaceUsage.end();) {
        const double seconds = entry->second.decayedSeconds(now);
        if (seconds < MinTrackedUsageSeconds) {
            entry = this->workspaceUsage.erase(entry);
            continue;
        }
        const double share = this->shareOf(entry->first);
        usagesByShare.emplace_back(seconds / share, share);
        remainingShares += share;
        ++entry;
    }
    // Max-min fairness: capacity left by workspaces below the level is divided among the others.
    std::sort(usagesByShare.begin(), usagesByShare.end());
    double remainingCapacity =
            capacity * this->settings.sharedCapacityFraction * UsageWindowSeconds;
    for (const auto &[usagePerShare, share] : usagesByShare) {
        this->fairLevel = remainingCapacity / remainingShares;
        if (usagePerShare >= this->fairLevel)
            return;
        remainingCapacity -= usagePerShare * share;
        remainingShares -= share;
    }
    // No workspace is above the level, so a single one may use all remaining capacity.
    this->fairLevel = std::numeric_limits<double>::max();
}

} // namespace dotterel
