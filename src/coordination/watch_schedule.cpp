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

Duration WatchSchedule::nextWait(bool continues)
{
    const bool keepsTurn = continues && !this->turnChanged;
    this->turnChanged = false;
    const std::size_t intervals =
            keepsTurn ? std::max<std::size_t>(1, this->turn.count) : this->turn.index + 1;
    return std::min(MaxWait, this->turnInterval * static_cast<Duration::rep>(intervals));
}

} // namespace dotterel
