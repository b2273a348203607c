#include "gateway/server_limits.h"

#include <algorithm>

namespace dotterel {

ServerLimits::ServerLimits(EventLog &log)
    : log(log)
{}

bool ServerLimits::onAnswer(const ServerId &server, std::uint64_t incarnation,
                            std::optional<double> limit, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() && !limit)
        return false;
    Record &record = this->records[server];
    if (record.incarnation != incarnation)
        record = {incarnation, std::nullopt, now};
    if (record.limit == limit)
        return false;
    this->log.write(
            Event::ServerLimited,
            {{"server", server},
             {"source", std::string("answer")},
             {"per_second", limit.value_or(-1)},
             {"earlier_per_second", record.limit.value_or(-1)},
             {"earlier_age_ms",
              static_cast<std::int64_t>((now - record.changedAt) / std::chrono::milliseconds(1))}});
    record.limit = limit;
    record.changedAt = now;
    return true;
}

std::size_t ServerLimits::limitedServers() const
{
    return static_cast<std::size_t>(
            std::count_if(this->records.begin(), this->records.end(),
                          [](const auto &entry) { return entry.second.limit.has_value(); }));
}

} // namespace dotterel
