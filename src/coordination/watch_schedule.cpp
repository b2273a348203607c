#include "coordination/watch_schedule.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Longest wait that the store grants.
constexpr Duration MaxWait = std::chrono::seconds(30);

} // namespace

WatchTurn turnAmong(const HostIdentity &self, const std::vector<MemberRecord> &members)
{
    const auto before =
            std::count_if(members.begin(), members.end(), [&self](const MemberRecord &member) {
                return member.identity.host < self.host;
            });
    return {static_cast<std::size_t>(before), std::max<std::size_t>(1, members.size())};
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
