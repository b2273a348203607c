#include "coordination/watch_schedule.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace dotterel {

namespace {

/// Longest wait that the store grants.
constexpr Duration MaxWait = std::chrono::seconds(30);

} // namespace

WatchTurn turnAmong(const HostIdentity &self, const std::vector<MemberRecord> &members)
{
    // Orders hosts by their rank within their failure domain, then by domain and name.
    std::map<std::string, std::vector<HostId>> hostsByDomain;
    for (const MemberRecord &member : members)
        hostsByDomain[member.identity.failureDomain].push_back(member.identity.host);
    std::vector<std::tuple<std::size_t, std::string, HostId>> turns;
    for (auto &[domain, hosts] : hostsByDomain) {
        std::sort(hosts.begin(), hosts.end());
        for (std::size_t rank = 0; rank < hosts.size(); ++rank)
            turns.emplace_back(rank, domain, hosts[rank]);
    }
    std::sort(turns.begin(), turns.end());
    const auto own = std::find_if(turns.begin(), turns.end(), [&self](const auto &turn) {
        return std::get<2>(turn) == self.host;
    });
    return {static_cast<std::size_t>(std::distance(turns.begin(), own)),
            std::max<std::size_t>(1, turns.size())};
}

void WatchSchedule::setTurn(const WatchTurn &newTurn)
{
    if (newTurn.index == this->turn.index && newTurn.count == this->turn.count)
        return;
    this->turn = newTurn;
    this->turnChanged = true;
}

Duration WatchSchedule::nextWait(bool continues, Duration elapsed)
{
    const bool keepsTurn = continues && !this->turnChanged;
    this->turnChanged = false;
    const Duration cycle = this->turnInterval
                           * static_cast<Duration::rep>(std::max<std::size_t>(1, this->turn.count));
    if (keepsTurn)
        return std::min(MaxWait, cycle);
    const Duration turnEnd = this->turnInterval * static_cast<Duration::rep>(this->turn.index + 1);
    const Duration left = (turnEnd - elapsed) % cycle;
    return std::min(MaxWait, left > Duration::zero() ? left : left + cycle);
}

} // namespace dotterel
