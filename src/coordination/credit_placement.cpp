#include "coordination/credit_placement.h"

#include "coordination/placement_candidates.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Of short prompts, whose delay is mostly queueing.
constexpr double TargetQueueDelaySeconds = 0.05;
/// Of prefill, for each first token within the target.
constexpr double CreditIncreaseSeconds = 0.1;
constexpr double CreditDecreaseFactor = 0.7;
constexpr double MinCreditSeconds = 0.5;
constexpr double MaxCreditSeconds = 60;
constexpr Duration MinDecreaseInterval = std::chrono::milliseconds(500);
constexpr Duration NoCreditRetryDelay = std::chrono::seconds(1);

} // namespace

CreditPlacement::CreditPlacement(const BackendDirectory &directory, RandomSource &random,
                                 const PlacementSettings &settings)
    : directory(directory)
    , random(random)
    , settings(settings)
{}

tl::expected<PlacementChoice, Failure> CreditPlacement::choose(const PlacementQuery &query,
                                                               TimePoint now)
{
    auto servers = placementCandidates(this->directory, query, now);
    if (!servers)
        return tl::unexpected(servers.error());
    // Only the work in flight is compared, so that a prompt longer than the limit can run alone.
    const auto hasNoCredit = [this](const BackendServer *server) {
        const CreditWindow &window = this->creditWindows[server->id];
        return window.inFlightSeconds >= window.creditSeconds;
    };
    servers->erase(std::remove_if(servers->begin(), servers->end(), hasNoCredit), servers->end());
    if (servers->empty())
        return tl::unexpected(Failure{Verdict::NotRun, Reason::TooManyRequests,
                                      "no backend server has credit left", NoCreditRetryDelay});
    const auto loadSeconds = [this](const BackendServer *server) {
        return this->creditWindows[server->id].inFlightSeconds
               + this->reportedQueueSeconds[server->id];
    };
    const BackendServer *first = (*servers)[this->random.nextBelow(servers->size())];
    const BackendServer *second = (*servers)[this->random.nextBelow(servers->size())];
    PlacementChoice choice;
    choice.server = loadSeconds(second) < loadSeconds(first) ? second->id : first->id;
    choice.priority = static_cast<std::int64_t>(query.promptTokens);
    return choice;
}

void CreditPlacement::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                                   const PlacementChoice &choice, TimePoint now)
{
    const double seconds = this->settings.prefill.seconds(static_cast<double>(query.promptTokens));
    this->runningAttempts[attempt] = {choice.server, seconds,
                                      query.promptTokens <= ShortPromptTokens, now};
    this->creditWindows[choice.server].inFlightSeconds += seconds;
}

void CreditPlacement::onFirstToken(const AttemptId &attempt, TimePoint now)
{
    const auto found = this->runningAttempts.find(attempt);
    if (found == this->runningAttempts.end())
        return;
    this->updateCredit(found->second, now);
    this->onEnded(attempt, now);
}

void CreditPlacement::onEnded(const AttemptId &attempt, TimePoint /*now*/)
{
    const auto found = this->runningAttempts.find(attempt);
    if (found == this->runningAttempts.end())
        return;
    this->creditWindows[found->second.server].inFlightSeconds -= found->second.seconds;
    this->runningAttempts.erase(found);
}

void CreditPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                   TimePoint /*now*/)
{
    this->reportedQueueSeconds[server] =
            this->settings.prefill.seconds(static_cast<double>(report.queuedPromptTokens));
}

void CreditPlacement::updateCredit(const RunningAttempt &entry, TimePoint now)
{
    if (!entry.isShort)
        return;
    CreditWindow &window = this->creditWindows[entry.server];
    const double delay = toSeconds(now - entry.dispatchedAt) - entry.seconds;
    if (delay <= TargetQueueDelaySeconds) {
        window.creditSeconds =
                std::min(MaxCreditSeconds, window.creditSeconds + CreditIncreaseSeconds);
        return;
    }
    if (now - window.decreasedAt < MinDecreaseInterval)
        return;
    window.decreasedAt = now;
    window.creditSeconds = std::max(MinCreditSeconds, window.creditSeconds * CreditDecreaseFactor);
}

} // namespace dotterel
