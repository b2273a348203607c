#include "coordination/two_choices_placement.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration RetryWithoutServer = std::chrono::seconds(1);

} // namespace

TwoChoicesPlacement::TwoChoicesPlacement(const BackendDirectory &directory, RandomSource &random)
    : directory(directory)
    , random(random)
{}

tl::expected<PlacementChoice, Failure> TwoChoicesPlacement::choose(const PlacementQuery &query,
                                                                   TimePoint now)
{
    std::vector<const BackendServer *> servers = this->directory.usable(query.pool, now);
    const auto excluded = [&query](const BackendServer *server) {
        return std::find(query.excluded.begin(), query.excluded.end(), server->id)
               != query.excluded.end();
    };
    servers.erase(std::remove_if(servers.begin(), servers.end(), excluded), servers.end());
    if (servers.empty())
        return tl::unexpected(
                Failure{Verdict::NotRun, Reason::NoBackendServer,
                        "no backend server of pool \"" + query.pool + "\" can take the request",
                        RetryWithoutServer});
    const BackendServer *first = servers[this->random.below(servers.size())];
    const BackendServer *second = servers[this->random.below(servers.size())];
    const bool takeSecond = this->load(second->id) < this->load(first->id);
    PlacementChoice choice;
    choice.server = takeSecond ? second->id : first->id;
    choice.priority = static_cast<int>(lengthBand(query.promptTokens));
    return choice;
}

void TwoChoicesPlacement::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                                       const PlacementChoice &choice, TimePoint /*now*/)
{
    this->running[attempt] = {choice.server, query.promptTokens};
    this->sentTokens[choice.server] += query.promptTokens;
}

void TwoChoicesPlacement::onFirstToken(const AttemptId &attempt, TimePoint /*now*/)
{
    this->forget(attempt);
}

void TwoChoicesPlacement::onEnded(const AttemptId &attempt, TimePoint /*now*/)
{
    this->forget(attempt);
}

void TwoChoicesPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                       TimePoint /*now*/)
{
    this->reports[server] = report;
}

std::uint64_t TwoChoicesPlacement::load(const ServerId &server) const
{
    const auto sent = this->sentTokens.find(server);
    const auto report = this->reports.find(server);
    return (sent == this->sentTokens.end() ? 0 : sent->second)
           + (report == this->reports.end() ? 0 : report->second.queuedPromptTokens);
}

void TwoChoicesPlacement::forget(const AttemptId &attempt)
{
    const auto entry = this->running.find(attempt);
    if (entry == this->running.end())
        return;
    this->sentTokens[entry->second.server] -= entry->second.tokens;
    this->running.erase(entry);
}

} // namespace dotterel
