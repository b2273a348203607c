#include "coordination/crash_guard.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

CrashGuard::CrashGuard(const CrashLimits &limits, Metrics &metrics, EventLog &log)
    : limits(limits)
    , metrics(metrics)
    , log(log)
{}

std::string CrashGuard::fingerprint(std::string_view workspace, std::string_view body)
{
    return toHex(hash64(workspace)) + hash128Hex(body);
}

std::size_t CrashGuard::crashes(const std::string &fingerprint, TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || now - found->second.touched > this->limits.maxAge)
        return 0;
    return found->second.crashes.size();
}

bool CrashGuard::refuses(const std::string &fingerprint, TimePoint now) const
{
    return this->crashes(fingerprint, now) >= this->limits.mostCrashes;
}

std::vector<ServerId> CrashGuard::serversOfSuspects(const std::string &fingerprint,
                                                    std::size_t leastCrashes, TimePoint now) const
{
    std::vector<ServerId> servers;
    for (const auto &[other, record] : this->records) {
        const bool isRunning =
                !record.runsOn.empty() && now - record.touched <= this->limits.maxAge;
        if (other != fingerprint && isRunning && record.crashes.size() >= leastCrashes)
            servers.push_back(record.runsOn);
    }
    return servers;
}

CrashNotice CrashGuard::onServerDied(const std::string &fingerprint, const ServerId &server,
                                     TimePoint now)
{
    Record &record = this->touch(fingerprint, now);
    record.runsOn.clear();
    if (this->addCrash(record, {server, now})) {
        this->metrics.count(Counter::CrashSuspects, 1);
        this->log.write(Event::CrashSuspect,
                        {{"fingerprint", fingerprint},
                         {"server", server},
                         {"crashes", static_cast<std::int64_t>(record.crashes.size())}});
    }
    return noticeOf(fingerprint, record, now);
}

CrashNotice CrashGuard::onMoved(const std::string &fingerprint, const ServerId &server,
                                TimePoint now)
{
    Record &record = this->touch(fingerprint, now);
    record.runsOn = server;
    return noticeOf(fingerprint, record, now);
}

CrashNotice CrashGuard::onFinished(const std::string &fingerprint, TimePoint now)
{
    Record &record = this->touch(fingerprint, now);
    record.runsOn.clear();
    clear(record, now);
    return noticeOf(fingerprint, record, now);
}

bool CrashGuard::onNotice(const CrashNotice &notice, TimePoint now)
{
    if (notice.fingerprint.empty())
        return false;
    Record &record = this->touch(notice.fingerprint, now);
    record.runsOn = notice.runsOn;
    bool changed = notice.cleared && clear(record, now - *notice.cleared);
    for (const CrashRecord &crash : notice.crashes)
        changed = this->addCrash(record, {crash.server, now - crash.age}) || changed;
    return changed;
}

CrashGuard::Record &CrashGuard::touch(const std::string &fingerprint, TimePoint now)
{
    if (this->records.count(fingerprint) == 0 && this->records.size() >= this->limits.mostRecords)
        this->dropOldest(now);
    Record &record = this->records[fingerprint];
    if (now - record.touched > this->limits.maxAge)
        record = Record();
    record.touched = now;
    return record;
}

void CrashGuard::dropOldest(TimePoint now)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        const bool expired = now - entry->second.touched > this->limits.maxAge;
        entry = expired ? this->records.erase(entry) : std::next(entry);
    }
    if (this->records.size() < this->limits.mostRecords)
        return;
    // Evicts the record with the fewest crashes: forgetting a refused request would let it crash
    // more servers.
    const auto evicted = std::min_element(
            this->records.begin(), this->records.end(), [](const auto &left, const auto &right) {
                const std::size_t leftCrashes = left.second.crashes.size();
                const std::size_t rightCrashes = right.second.crashes.size();
                return leftCrashes != rightCrashes ? leftCrashes < rightCrashes
                                                   : left.second.touched < right.second.touched;
            });
    this->records.erase(evicted);
}

bool CrashGuard::addCrash(Record &record, const Crash &crash)
{
    if (record.cleared && crash.time <= *record.cleared + this->limits.reportDelay)
        return false;
    const auto isSameCrash = [this, &crash](const Crash &recorded) {
        const Duration interval = std::chrono::abs(recorded.time - crash.time);
        return recorded.server == crash.server && interval <= this->limits.sameCrash;
    };
    if (record.crashes.size() >= this->limits.mostCrashes
        || std::any_of(record.crashes.begin(), record.crashes.end(), isSameCrash))
        return false;
    record.crashes.push_back(crash);
    return true;
}

bool CrashGuard::clear(Record &record, TimePoint time)
{
    if (record.cleared && *record.cleared >= time)
        return false;
    record.cleared = time;
    const auto isBeforeClearance = [time](const Crash &crash) { return crash.time <= time; };
    const auto firstRemoved =
            std::remove_if(record.crashes.begin(), record.crashes.end(), isBeforeClearance);
    const bool changed = firstRemoved != record.crashes.end();
    record.crashes.erase(firstRemoved, record.crashes.end());
    return changed;
}

CrashNotice CrashGuard::noticeOf(const std::string &fingerprint, const Record &record,
                                 TimePoint now)
{
    CrashNotice notice;
    notice.fingerprint = fingerprint;
    notice.runsOn = record.runsOn;
    for (const Crash &crash : record.crashes)
        notice.crashes.push_back({crash.server, now - crash.time});
    if (record.cleared)
        notice.cleared = now - *record.cleared;
    return notice;
}

} // namespace dotterel
