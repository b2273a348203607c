#pragma once

#include "core/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace dotterel::soak {

/// Counts the requests that servers get after they have named a limit, as the users' rule does:
/// from hosts that passed such an answer on half a second before or earlier, and only from the
/// contact time after the limit was first named. A server that changes its limit allows what it
/// named at each moment of the window.
class SoakLimits
{
public:
    /// \a server named \a limit, in requests per second, in an answer to a request from \a host.
    void onNamed(const std::string &server, std::size_t host, double limit, TimePoint now);

    /// \a server names no limit any more.
    void onLifted(const std::string &server) { this->limits.erase(server); }

    /// A process of \a host was suspended, resumed, killed or started; it is excused.
    void onHostInterrupted(std::size_t host);

    /// Records a request from \a host. Returns how many there were in the last four seconds if they
    /// are more than the rule allows.
    std::optional<std::size_t> onArrival(const std::string &server, std::size_t host,
                                         TimePoint now);

private:
    struct Arrival
    {
        TimePoint time;
        std::size_t host = 0;
    };
    struct NamedLimit
    {
        TimePoint since;
        double perSecond = 0;
    };
    struct Limit
    {
        /// Returns how many requests the server has allowed from \a begin to \a end.
        double allowedBetween(TimePoint begin, TimePoint end) const;

        std::deque<NamedLimit> named; ///< One entry for each change.
        TimePoint namedAt;
        std::map<std::size_t, TimePoint> toldAt; ///< By host.
        std::deque<Arrival> arrivals;
    };

    std::map<std::string, Limit> limits;
};

} // namespace dotterel::soak
