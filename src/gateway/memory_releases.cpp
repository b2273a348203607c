#include "gateway/memory_releases.h"

#include <algorithm>

namespace dotterel {

MemoryReleases::MemoryReleases(const MemoryReleaseTimings &timings)
    : timings(timings)
{}

void MemoryReleases::add(const MemoryReservation &reservation, TimePoint now)
{
    Record record;
    record.reservation = reservation;
    record.due = now;
    record.interval = this->timings.repeatInterval;
    const Duration lasting = reservation.unansweredOrders > 0 ? this->timings.lateEffectTime
                                                              : this->timings.reservationLifetime;
    record.forgetAt = std::max(now, reservation.orderedAt) + lasting;
    this->records[reservation.id] = record;
}

void MemoryReleases::onReserved(const std::string &id, bool granted, TimePoint now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end())
        return;
    Record &record = found->second;
    if (record.reservation.unansweredOrders > 0)
        --record.reservation.unansweredOrders;
    if (!granted)
        return;
    record.due = now;
    record.interval = this->timings.repeatInterval;
    record.forgetAt = std::max(record.forgetAt, now + this->timings.reservationLifetime);
}

void MemoryReleases::onReleased(const std::string &id, TimePoint now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end())
        return;
    Record &record = found->second;
    if (record.reservation.unansweredOrders == 0) {
        this->records.erase(found);
        return;
    }
    record.confirmed = true;
    record.due = now + this->timings.followUpInterval;
    record.interval = this->timings.repeatInterval;
}

std::vector<MemoryReservation> MemoryReleases::takeDue(TimePoint now)
{
    std::vector<MemoryReservation> due;
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        Record &record = entry->second;
        if (now >= record.forgetAt) {
            entry = this->records.erase(entry);
            continue;
        }
        if (now >= record.due) {
            due.push_back(record.reservation);
            record.due = now + record.interval;
            record.interval = std::min(2 * record.interval, this->timings.followUpInterval);
        }
        ++entry;
    }
    return due;
}

bool MemoryReleases::isUnconfirmed() const
{
    return std::any_of(this->records.begin(), this->records.end(), [this](const auto &entry) {
        return !entry.second.confirmed && entry.second.interval < this->timings.followUpInterval;
    });
}

std::optional<TimePoint> MemoryReleases::nextDue() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, record] : this->records) {
        const TimePoint due = std::min(record.due, record.forgetAt);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace dotterel
