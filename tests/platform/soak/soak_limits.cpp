#include "platform/soak/soak_limits.h"

#include <algorithm>

namespace dotterel::soak {

namespace {

constexpr Duration Window = std::chrono::seconds(4);
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;
constexpr Duration ToldTime = std::chrono::milliseconds(500);
constexpr Duration ContactTime = std::chrono::seconds(3);

} // namespace

void SoakLimits::onNamed(const std::string &server, std::size_t host, double limit, TimePoint now)
{
    const auto [entry, isFirst] = this->limits.emplace(server, Limit());
    if (isFirst)
        entry->second.namedAt = now;
    std::deque<NamedLimit> &named = entry->second.named;
    if (named.empty() || named.back().perSecond != limit)
        named.push_back({now, limit});
    entry->second.toldAt.emplace(host, now);
}

double SoakLimits::Limit::allowedBetween(TimePoint begin, TimePoint end) const
{
    double allowed = 0;
    for (auto entry = this->named.begin(); entry != this->named.end(); ++entry) {
        const auto next = std::next(entry);
        // The first limit also holds for the time before it was named.
        const TimePoint from = entry == this->named.begin() ? begin : std::max(entry->since, begin);
        const TimePoint until = next == this->named.end() ? end : std::min(next->since, end);
        if (until > from)
            allowed += entry->perSecond * toSeconds(until - from);
    }
    return allowed;
}

void SoakLimits::onHostInterrupted(std::size_t host)
{
    for (auto &[server, limit] : this->limits) {
        limit.toldAt.erase(host);
        const auto isOfHost = [host](const Arrival &arrival) { return arrival.host == host; };
        limit.arrivals.erase(std::remove_if(limit.arrivals.begin(), limit.arrivals.end(), isOfHost),
                             limit.arrivals.end());
    }
}

std::optional<std::size_t> SoakLimits::onArrival(const std::string &server, std::size_t host,
                                                 TimePoint now)
{
    const auto found = this->limits.find(server);
    if (found == this->limits.end() || now < found->second.namedAt + ContactTime)
        return std::nullopt;
    Limit &limit = found->second;
    const auto told = limit.toldAt.find(host);
    if (told == limit.toldAt.end() || now < told->second + ToldTime)
        return std::nullopt;
    limit.arrivals.push_back({now, host});
    while (now - limit.arrivals.front().time > Window)
        limit.arrivals.pop_front();
    while (limit.named.size() > 1 && limit.named[1].since <= now - Window)
        limit.named.pop_front();
    const double allowed = AllowedFactor * limit.allowedBetween(now - Window, now) + AllowedExtra;
    if (static_cast<double>(limit.arrivals.size()) <= allowed)
        return std::nullopt;
    return limit.arrivals.size();
}

} // namespace dotterel::soak
