#include "gateway/suspect_probes.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Longer than the transit time of bytes that were sent before a crash.
constexpr Duration MinInterval = std::chrono::milliseconds(100);
constexpr Duration MaxInterval = std::chrono::seconds(5);
constexpr std::size_t MaxRecords = 1'024;

} // namespace

bool SuspectProbes::tryProbe(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end()) {
        if (this->records.size() >= MaxRecords)
            this->records.clear();
        this->records[server] = {now, MinInterval};
        return true;
    }
    Record &record = found->second;
    if (now - record.probedAt < record.interval)
        return false;
    record.probedAt = now;
    record.interval = std::min(2 * record.interval, MaxInterval);
    return true;
}

void SuspectProbes::onAlive(const ServerId &server)
{
    this->records.erase(server);
}

} // namespace dotterel
