#pragma once

#include "core/time.h"
#include "protocol/peer_message.h"

#include <cstddef>
#include <vector>

namespace dotterel {

/// Turn of a host among the hosts that watch the store.
struct WatchTurn
{
    std::size_t index = 0; ///< From 0; distinct among the watching hosts.
    std::size_t count = 1; ///< Number of watching hosts.
};

/// Returns the turn of \a self if all of \a members, which include it, watch. Successive turns
/// belong to different failure domains, so that a domain that is cut off leaves short gaps.
WatchTurn turnAmong(const HostIdentity &self, const std::vector<MemberRecord> &members);

/// Chooses how long the watches of a collection wait at the store. A connection can fall silent
/// without being closed, and only a missing response shows it. The watches of the hosts therefore
/// end one after the other, at a fixed interval, so that one of the hosts notices soon, while each
/// host makes few calls. Performs no I/O.
class WatchSchedule
{
public:
    /// Wait of a watch that shows whether the store answers this host: the first one after a failed
    /// call, or on a connection that replaces a silent one. A store that stays silent loses it.
    static constexpr Duration ConfirmationWait = std::chrono::milliseconds(100);

    /// \a turnInterval is the time between the ends of the watches of two hosts. Until setTurn() is
    /// called, \a firstTurn spreads the waits of hosts that do not know each other yet.
    WatchSchedule(Duration turnInterval, const WatchTurn &firstTurn)
        : turnInterval(turnInterval)
        , turn(firstTurn)
    {}

    /// Sets the turn of this host; the next wait brings it into that turn.
    void setTurn(const WatchTurn &newTurn);

    /// Returns the wait of the next watch. \a continues is true if the previous watch ended without
    /// a change: the host then keeps its turn. Otherwise the watches of all hosts ended together,
    /// \a elapsed ago, and the first waits set the turns apart. Hosts may begin to watch again at
    /// different times, for example after an outage.
    Duration nextWait(bool continues, Duration elapsed = Duration::zero());

private:
    Duration turnInterval;
    WatchTurn turn;
    bool turnChanged = true; ///< Since the last wait.
};

} // namespace dotterel
