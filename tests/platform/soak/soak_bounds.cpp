#include "platform/soak/soak_bounds.h"

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

/// A configuration must be in force, and a leaving server must get nothing new, this long after the
/// change was confirmed.
constexpr Duration ApplyLimit = milliseconds(2'000);
constexpr Duration DrainLimit = milliseconds(2'000);
/// The servers of a failure domain that operators put out of service get nothing after this time.
constexpr Duration DomainServiceLimit = milliseconds(5'000);
/// Requests in one second that a server may get while it warms up, over its rate.
constexpr double WarmUpOvershoot = 1.5;
constexpr double WarmUpSlack = 5;
/// After a disturbance a host has this long until it counts as in touch again.
constexpr Duration ContactLimit = milliseconds(3'000);
/// Time after a pause was asked for within which requests may still arrive.
constexpr Duration PauseReactionLimit = milliseconds(500);
constexpr std::size_t MaxArrivalsInPause = 2;
/// Tolerance for a busy machine before a limit counts as exceeded.
constexpr Duration LimitTolerance = milliseconds(500);

} // namespace

void SoakBounds::setUndisturbedSince(std::size_t host, TimePoint time)
{
    this->undisturbedSince[host] = time;
}

void SoakBounds::onHostInterrupted(std::size_t host)
{
    this->limits.onHostInterrupted(host);
    for (auto entry = this->leavingAnsweredAt.begin(); entry != this->leavingAnsweredAt.end();)
        entry = entry->first.second == host ? this->leavingAnsweredAt.erase(entry)
                                            : std::next(entry);
    for (auto entry = this->pauses.begin(); entry != this->pauses.end();)
        entry = entry->first.second == host ? this->pauses.erase(entry) : std::next(entry);
}

void SoakBounds::onPublished(std::uint64_t version, TimePoint now)
{
    this->publishedAt.emplace(version, now);
}

void SoakBounds::onWithdrawn(const std::string &server, TimePoint now)
{
    this->withdrawnAt[server] = now;
}

void SoakBounds::onLeavingAnswered(const std::string &server, std::size_t host, TimePoint now)
{
    this->leavingAnsweredAt.emplace(ServerAndHost{server, host}, now);
}

void SoakBounds::onPauseAnswered(const std::string &server, std::size_t host, TimePoint until,
                                 TimePoint now)
{
    Pause &pause = this->pauses[{server, host}];
    if (pause.until <= now)
        pause = {now, until, 0};
}

TimePoint SoakBounds::boundFor(std::size_t host, TimePoint confirmedAt, Duration limit) const
{
    const auto disturbed = this->undisturbedSince.find(host);
    const TimePoint inTouchFrom = disturbed == this->undisturbedSince.end()
                                          ? TimePoint()
                                          : disturbed->second + ContactLimit;
    return std::max(confirmedAt + limit, inTouchFrom) + LimitTolerance;
}

bool SoakBounds::isInTouch(std::size_t host, TimePoint changedAt, TimePoint sentAt) const
{
    return sentAt > this->boundFor(host, changedAt, ContactLimit);
}

void SoakBounds::setFailureDomain(const std::string &server, const std::string &domain)
{
    this->domainOfServer[server] = domain;
}

void SoakBounds::onDomainOutOfService(const std::string &domain, TimePoint now)
{
    this->outOfServiceAt[domain] = now;
}

void SoakBounds::onDomainInService(const std::string &domain)
{
    this->outOfServiceAt.erase(domain);
}

void SoakBounds::onWarmUpArrival(const std::string &id, const std::string &server, TimePoint now)
{
    std::deque<TimePoint> &arrivals = this->warmUpArrivals[server];
    arrivals.push_back(now);
    while (now - arrivals.front() > std::chrono::seconds(1))
        arrivals.pop_front();
    if (static_cast<double>(arrivals.size()) > WarmUpRate * WarmUpOvershoot + WarmUpSlack)
        this->checker.addViolation("FAILBACK: " + id + " is request number "
                                   + std::to_string(arrivals.size()) + " in a second at " + server
                                   + ", which warms up");
}

void SoakBounds::onArrival(const std::string &id, const SoakRequest &request,
                           const std::string &server, TimePoint now)
{
    const ServerAndHost key{server, request.host};
    const std::string host = std::to_string(request.host);
    if (const auto out = this->outOfServiceAt.find(this->domainOfServer[server]);
        out != this->outOfServiceAt.end()
        && now > this->boundFor(request.host, out->second, DomainServiceLimit)
        && request.sentAt > this->boundFor(request.host, out->second, Duration::zero()))
        this->checker.addViolation("EVAC: " + id + " reached " + server + " from host " + host
                                   + " in a failure domain that is out of service");
    if (const auto withdrawn = this->withdrawnAt.find(server);
        withdrawn != this->withdrawnAt.end()
        && request.sentAt > this->boundFor(request.host, withdrawn->second, DrainLimit))
        this->checker.addViolation("DRAIN: " + id + " reached " + server + " from host " + host
                                   + " after its entry had said that it leaves");
    if (const auto leaving = this->leavingAnsweredAt.find(key);
        leaving != this->leavingAnsweredAt.end()
        && request.sentAt > leaving->second + DrainLimit + LimitTolerance)
        this->checker.addViolation("DRAIN: " + id + " reached " + server + " from host " + host
                                   + " after its answers had said that it leaves");
    if (request.kind == RequestKind::RemovedRouteProbe)
        if (const auto published = this->publishedAt.find(request.probedVersion);
            published != this->publishedAt.end()
            && request.sentAt > this->boundFor(request.host, published->second, ApplyLimit))
            this->checker.addViolation("CONFIG: " + id + " ran from host " + host
                                       + " on a route that version "
                                       + std::to_string(request.probedVersion) + " removed");
    if (const auto count = this->limits.onArrival(server, request.host, now))
        this->checker.addViolation("LIMIT: " + id + " was request number " + std::to_string(*count)
                                   + " at " + server + " in 4 s, which names a lower limit");
    this->checkPause(id, key, now);
}

void SoakBounds::checkPause(const std::string &id, const ServerAndHost &key, TimePoint now)
{
    const auto found = this->pauses.find(key);
    if (found == this->pauses.end())
        return;
    Pause &pause = found->second;
    if (now < pause.answeredAt + PauseReactionLimit || now >= pause.until)
        return;
    if (++pause.arrivals == MaxArrivalsInPause + 1)
        this->checker.addViolation("BUDGET: " + id + " is the third request to " + key.first
                                   + " from host " + std::to_string(key.second)
                                   + " in the pause that it asked for");
}

void SoakBounds::onRefusedRoute(const std::string &id, const SoakRequest &request)
{
    const auto published = this->publishedAt.find(request.probedVersion);
    if (published == this->publishedAt.end()
        || request.sentAt <= this->boundFor(request.host, published->second, ApplyLimit))
        return;
    this->checker.addViolation("CONFIG: " + id + " was refused by host "
                               + std::to_string(request.host) + " on a route that version "
                               + std::to_string(request.probedVersion) + " added");
}

} // namespace dotterel::soak
