#pragma once

#include "core/time.h"
#include "platform/soak/soak_checker.h"
#include "platform/soak/soak_limits.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dotterel::soak {

/// Checks the guarantees with a time limit: a confirmed configuration is in force, and servers that
/// withdraw, leave or ask for a pause get nothing more. The limits are those of the users' sheet.
class SoakBounds
{
public:
    explicit SoakBounds(SoakChecker &checker)
        : checker(checker)
    {}

    /// Sets since when a host runs undisturbed.
    void setUndisturbedSince(std::size_t host, TimePoint time);

    /// Returns true if \a host had been undisturbed for the contact time when it got a request at
    /// \a sentAt, and that is late after a change at \a changedAt.
    bool isInTouch(std::size_t host, TimePoint changedAt, TimePoint sentAt) const;

    /// A process was suspended, resumed, killed or started; it is excused for what servers told it.
    void onHostInterrupted(std::size_t host);

    /// The store acknowledged \a version.
    void onPublished(std::uint64_t version, TimePoint now);

    /// The store acknowledged that \a server drains or is gone.
    void onWithdrawn(const std::string &server, TimePoint now);

    /// \a server sent \a host an answer that says that it leaves.
    void onLeavingAnswered(const std::string &server, std::size_t host, TimePoint now);

    /// \a server told \a host to send nothing until \a until.
    void onPauseAnswered(const std::string &server, std::size_t host, TimePoint until,
                         TimePoint now);

    /// \a server named a limit of requests per second in an answer to \a host, or names none any
    /// more.
    void onLimitAnswered(const std::string &server, std::size_t host, double limit, TimePoint now)
    {
        this->limits.onNamed(server, host, limit, now);
    }
    void onLimitLifted(const std::string &server) { this->limits.onLifted(server); }

    /// Sets the failure domain of \a server.
    void setFailureDomain(const std::string &server, const std::string &domain);

    /// The store acknowledged that \a domain is out of service, or in service again.
    void onDomainOutOfService(const std::string &domain, TimePoint now);
    void onDomainInService(const std::string &domain);

    /// Checks that \a server, which warms up, gets no more requests than its pool allows.
    void onWarmUpArrival(const std::string &id, const std::string &server, TimePoint now);

    /// Requests per second that a server takes while it warms up.
    static constexpr double WarmUpRate = 3;

    /// Checks \a request, which reached \a server.
    void onArrival(const std::string &id, const SoakRequest &request, const std::string &server,
                   TimePoint now);

    /// Checks a request that was refused as if \a version were not in force.
    void onRefusedRoute(const std::string &id, const SoakRequest &request);

private:
    struct Pause
    {
        TimePoint answeredAt;
        TimePoint until;
        std::size_t arrivals = 0;
    };
    using ServerAndHost = std::pair<std::string, std::size_t>;

    /// Returns the time from which a request to \a host must follow a change confirmed at
    /// \a confirmedAt.
    TimePoint boundFor(std::size_t host, TimePoint confirmedAt, Duration limit) const;
    void checkPause(const std::string &id, const ServerAndHost &key, TimePoint now);

    SoakChecker &checker;
    std::map<std::size_t, TimePoint> undisturbedSince;
    std::map<std::uint64_t, TimePoint> publishedAt;
    std::map<std::string, TimePoint> withdrawnAt;
    std::map<ServerAndHost, TimePoint> leavingAnsweredAt;
    std::map<ServerAndHost, Pause> pauses;
    std::map<std::string, std::string> domainOfServer;
    std::map<std::string, TimePoint> outOfServiceAt; ///< By failure domain.
    std::map<std::string, std::deque<TimePoint>> warmUpArrivals;
    SoakLimits limits;
};

} // namespace dotterel::soak
