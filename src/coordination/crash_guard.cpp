#include "coordination/crash_guard.h"

#include "core/hashing.h"

#include <algorithm>
#include <numeric>

namespace dotterel {

namespace {

constexpr std::size_t MinRecurringCrashes = 2;

} // namespace

CrashGuard::CrashGuard(const CrashLimits &limits, Metrics &metrics, EventLog &log)
    : limits(limits)
    , metrics(metrics)
    , log(log)
{}

std::string CrashGuard::fingerprint(std::string_view workspace, std::string_view body)
{
    return toHex(hash64(workspace)) + hash128Hex(body);
}

std::size_t CrashGuard::crashCount(const std::string &fingerprint, TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || this->isExpired(found->second, now))
        return 0;
    return weightOf(found->second);
}

std::vector<ServerId> CrashGuard::crashedServers(const std::string &fingerprint) const
{
    std::vector<ServerId> servers;
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end())
        return servers;
    for (const Crash &crash : found->second.crashes) {
        if (!crash.takenBack)
            servers.push_back(crash.server);
    }
    return servers;
}

std::size_t CrashGuard::recordedCrashes(const std::string &fingerprint, TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || this->isExpired(found->second, now))
        return 0;
    return static_cast<std::size_t>(
            std::count_if(found->second.crashes.begin(), found->second.crashes.end(),
                          [](const Crash &crash) { return !crash.takenBack; }));
}

bool CrashGuard::isKnown(const CrashNotice &notice, TimePoint now) const
{
    const auto found = this->records.find(notice.fingerprint);
    if (found == this->records.end() || this->isExpired(found->second, now))
        return false;
    const Record &record = found->second;
    const auto isExplained = [&record, now](const CrashRecord &crash) {
        return record.clearedAt && now - crash.age <= *record.clearedAt;
    };
    return record.crashes.size() >= notice.crashes.size()
           || std::all_of(notice.crashes.begin(), notice.crashes.end(), isExplained);
}

bool CrashGuard::shouldRefuse(const std::string &fingerprint, TimePoint now) const
{
    return this->shouldRefuse(fingerprint, {this->limits.maxCrashes, 1}, now);
}

bool CrashGuard::shouldRefuse(const std::string &fingerprint, const Threshold &threshold,
                              TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    return found != this->records.end() && this->isRefused(found->second, threshold, now);
}

std::size_t
CrashGuard::unexplainedWeight(const std::string &fingerprint,
                              const std::function<bool(const std::string &other)> &outranks,
                              TimePoint now) const
{
    const auto found = this->records.find(fingerprint);
    if (found == this->records.end() || this->isExpired(found->second, now))
        return 0;
    std::vector<Crash> unexplained = found->second.crashes;
    for (const auto &[other, record] : this->records) {
        if (other == fingerprint || this->isExpired(record, now) || !outranks(other))
            continue;
        const auto isExplained = [this, &crashes = record.crashes](const Crash &crash) {
            return std::any_of(crashes.begin(), crashes.end(), [this, &crash](const Crash &known) {
                return known.server == crash.server && this->isSameCrash(known, crash);
            });
        };
        unexplained.erase(std::remove_if(unexplained.begin(), unexplained.end(), isExplained),
                          unexplained.end());
    }
    return weightOf(unexplained);
}

std::optional<TimePoint> CrashGuard::completedAt(const std::string &fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    return found == this->records.end() ? std::nullopt : found->second.clearedAt;
}

std::size_t CrashGuard::weightOf(const std::vector<Crash> &crashes)
{
    return std::accumulate(crashes.begin(), crashes.end(), std::size_t{0},
                           [](std::size_t sum, const Crash &crash) {
                               return crash.takenBack ? sum : sum + crash.weight;
                           });
}

std::size_t CrashGuard::weightOf(const Record &record)
{
    return weightOf(record.crashes);
}

bool CrashGuard::isRefused(const Record &record, const Threshold &threshold, TimePoint now) const
{
    const std::size_t weight = weightOf(record);
    if (this->isExpired(record, now) || weight < threshold.minWeight)
        return false;
    const auto latest = std::max_element(
            record.crashes.begin(), record.crashes.end(),
            [](const Crash &left, const Crash &right) { return left.time < right.time; });
    const std::size_t excess = (weight - threshold.minWeight) / latest->weight;
    const std::size_t doublings = std::min(excess, this->limits.maxRefusalDoublings);
    const Duration refusalTime = this->limits.refusalTime * (std::int64_t{1} << doublings);
    return now - latest->time <= refusalTime * threshold.timeFactor;
}

std::vector<ServerId> CrashGuard::serversWithSuspects(const std::string &fingerprint,
                                                      std::size_t minCrashes, TimePoint now) const
{
    std::vector<ServerId> servers;
    for (const auto &[other, record] : this->records) {
        const bool isRunning = !record.runningServer.empty() && !this->isExpired(record, now);
        if (other != fingerprint && isRunning && weightOf(record) >= minCrashes)
            servers.push_back(record.runningServer);
    }
    return servers;
}

CrashNotice CrashGuard::onServerCrashed(const std::string &fingerprint, const ServerId &server,
                                        TimePoint now, const CrashContext &context)
{
    Record &record = this->makeRecord(fingerprint, now, now);
    record.runningServer.clear();
    if (this->addCrash(record, {server, now - context.age, context.weight})) {
        this->metrics.count(Counter::CrashSuspects, 1);
        this->log.write(Event::CrashSuspect,
                        {{"subject", std::string(crashSubjectName(this->limits.subject))},
                         {"fingerprint", fingerprint},
                         {"request", context.request},
                         {"server", server},
                         {"cause", context.cause},
                         {"crashes", static_cast<std::int64_t>(weightOf(record))}});
    }
    return makeNotice(fingerprint, record, now);
}

CrashNotice CrashGuard::onServerChanged(const std::string &fingerprint, const ServerId &server,
                                        TimePoint now)
{
    Record &record = this->makeRecord(fingerprint, now, now);
    record.runningServer = server;
    record.lastUpdate = now;
    return makeNotice(fingerprint, record, now);
}

CrashNotice CrashGuard::onFinished(const std::string &fingerprint, TimePoint now,
                                   const CrashContext &context)
{
    Record &record = this->makeRecord(fingerprint, now, now);
    record.runningServer.clear();
    const std::size_t crashes = weightOf(record);
    if (applyClearance(record, now - context.age)) {
        this->metrics.count(Counter::CrashSuspectsCleared, 1);
        this->log.write(Event::CrashCleared,
                        {{"subject", std::string(crashSubjectName(this->limits.subject))},
                         {"fingerprint", fingerprint},
                         {"request", context.request},
                         {"cause", context.cause},
                         {"crashes", static_cast<std::int64_t>(crashes)}});
    }
    return makeNotice(fingerprint, record, now);
}

void CrashGuard::takeBackCrashes(
        const std::function<bool(const ServerId &server, TimePoint crashedAt)> &livedOn)
{
    for (auto &[fingerprint, record] : this->records) {
        for (Crash &crash : record.crashes) {
            if (crash.takenBack || !livedOn(crash.server, crash.time))
                continue;
            crash.takenBack = true;
            this->log.write(Event::CrashCleared,
                            {{"subject", std::string(crashSubjectName(this->limits.subject))},
                             {"fingerprint", fingerprint},
                             {"server", crash.server},
                             {"cause", std::string("server lived on")},
                             {"crashes", static_cast<std::int64_t>(weightOf(record))}});
        }
    }
}

bool CrashGuard::onNotice(const CrashNotice &notice, TimePoint now)
{
    if (notice.fingerprint.empty())
        return false;
    Duration age = notice.sinceCompletion.value_or(Duration::max());
    for (const CrashRecord &crash : notice.crashes)
        age = std::min(age, crash.age);
    // Told of old crashes, a host must not remember them longer than the others do.
    const TimePoint updatedAt = age == Duration::max() ? now : now - age;
    Record &record = this->makeRecord(notice.fingerprint, updatedAt, now);
    this->setRunningServer(record, notice.runningServer, now);
    bool changed = notice.sinceCompletion && applyClearance(record, now - *notice.sinceCompletion);
    for (const CrashRecord &crash : notice.crashes)
        changed = this->addCrash(record, {crash.server, now - crash.age, crash.weight}) || changed;
    if (changed) {
        this->metrics.count(Counter::CrashNoticesApplied, 1);
        this->log.write(Event::CrashLearned,
                        {{"subject", std::string(crashSubjectName(this->limits.subject))},
                         {"fingerprint", notice.fingerprint},
                         {"reported", static_cast<std::int64_t>(notice.crashes.size())},
                         {"cleared", notice.sinceCompletion.has_value()},
                         {"crashes", static_cast<std::int64_t>(weightOf(record))}});
    }
    return changed;
}

bool CrashGuard::isExpired(const Record &record, TimePoint now) const
{
    return now - record.lastUpdate > this->limits.recordLifetime;
}

CrashGuard::Record &CrashGuard::makeRecord(const std::string &fingerprint, TimePoint updatedAt,
                                           TimePoint now)
{
    const auto found = this->records.find(fingerprint);
    if (found != this->records.end() && !this->isExpired(found->second, now))
        return found->second;
    if (found == this->records.end() && this->records.size() >= this->limits.maxRecords)
        this->evictRecord(now);
    Record &record = this->records[fingerprint];
    record = Record();
    record.lastUpdate = updatedAt;
    return record;
}

void CrashGuard::setRunningServer(Record &record, const ServerId &server, TimePoint now) const
{
    if (record.runningServer == server)
        return;
    record.runningServer = server;
    record.lastUpdate = now;
}

void CrashGuard::evictRecord(TimePoint now)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        entry = this->isExpired(entry->second, now) ? this->records.erase(entry) : std::next(entry);
    }
    if (this->records.size() < this->limits.maxRecords)
        return;
    // Evicts the record with the fewest crashes: forgetting a refused request would let it crash
    // more servers.
    const auto evicted = std::min_element(
            this->records.begin(), this->records.end(), [](const auto &left, const auto &right) {
                const std::size_t leftCrashes = weightOf(left.second);
                const std::size_t rightCrashes = weightOf(right.second);
                return leftCrashes != rightCrashes
                               ? leftCrashes < rightCrashes
                               : left.second.lastUpdate < right.second.lastUpdate;
            });
    this->records.erase(evicted);
}

bool CrashGuard::addCrash(Record &record, const Crash &crash)
{
    if (record.clearedAt && crash.time <= *record.clearedAt + this->limits.maxReportDelay)
        return false;
    for (Crash &recorded : record.crashes) {
        const bool explainsNothing = recorded.takenBack && recorded.server != crash.server;
        if (explainsNothing || !this->isSameCrash(recorded, crash))
            continue;
        // The server may have crashed after it had lived on.
        if (recorded.takenBack && crash.time > recorded.time + this->limits.maxReportDelay) {
            recorded = crash;
            record.lastUpdate = std::max(record.lastUpdate, crash.time);
            return true;
        }
        const bool saysMore = crash.weight > recorded.weight;
        recorded.weight = std::max(recorded.weight, crash.weight);
        return saysMore;
    }
    if (record.crashes.size() < this->limits.maxRecordedCrashes) {
        record.crashes.push_back(crash);
    } else {
        const auto oldest = std::min_element(record.crashes.begin(), record.crashes.end(),
                                             [](const Crash &left, const Crash &right) {
                                                 return left.takenBack != right.takenBack
                                                                ? left.takenBack
                                                                : left.time < right.time;
                                             });
        if (crash.time <= oldest->time && !oldest->takenBack)
            return false;
        *oldest = crash;
    }
    record.lastUpdate = std::max(record.lastUpdate, crash.time);
    return true;
}

bool CrashGuard::isSameCrash(const Crash &left, const Crash &right) const
{
    const Duration interval = std::chrono::abs(left.time - right.time);
    return left.server == right.server ? interval <= this->limits.duplicateReportWindow
                                       : interval < this->limits.commonCauseWindow;
}

bool CrashGuard::applyClearance(Record &record, TimePoint time)
{
    if (record.clearedAt && *record.clearedAt >= time)
        return false;
    record.clearedAt = time;
    record.lastUpdate = std::max(record.lastUpdate, time);
    const auto isBeforeClearance = [time](const Crash &crash) { return crash.time <= time; };
    const auto firstRemoved =
            std::remove_if(record.crashes.begin(), record.crashes.end(), isBeforeClearance);
    const bool changed = firstRemoved != record.crashes.end();
    record.crashes.erase(firstRemoved, record.crashes.end());
    return changed;
}

std::vector<CrashNotice> CrashGuard::notices(TimePoint now) const
{
    const auto isIncluded = [this, now](const Record &record) {
        const bool clearedLately =
                record.clearedAt && now - *record.clearedAt <= this->limits.sharedCompletionAge;
        return !record.crashes.empty() || clearedLately;
    };
    return this->collectNotices(isIncluded, now);
}

std::vector<CrashNotice> CrashGuard::recurringNotices(TimePoint now) const
{
    return this->collectNotices(
            [](const Record &record) { return record.crashes.size() >= MinRecurringCrashes; }, now);
}

std::vector<CrashNotice>
CrashGuard::collectNotices(const std::function<bool(const Record &)> &isIncluded,
                           TimePoint now) const
{
    std::vector<CrashNotice> notices;
    for (const auto &[fingerprint, record] : this->records) {
        if (!this->isExpired(record, now) && isIncluded(record))
            notices.push_back(makeNotice(fingerprint, record, now));
    }
    std::stable_sort(notices.begin(), notices.end(),
                     [](const CrashNotice &left, const CrashNotice &right) {
                         return left.crashes.size() > right.crashes.size();
                     });
    if (notices.size() > this->limits.maxSharedNotices)
        notices.resize(this->limits.maxSharedNotices);
    return notices;
}

CrashGuard::Totals CrashGuard::totals(TimePoint now) const
{
    Totals totals;
    for (const auto &[fingerprint, record] : this->records) {
        if (this->isExpired(record, now) || record.crashes.empty())
            continue;
        ++totals.suspects;
        if (this->isRefused(record, {this->limits.maxCrashes, 1}, now))
            ++totals.refused;
    }
    return totals;
}

CrashNotice CrashGuard::makeNotice(const std::string &fingerprint, const Record &record,
                                   TimePoint now) const
{
    CrashNotice notice;
    notice.subject = this->limits.subject;
    notice.fingerprint = fingerprint;
    notice.runningServer = record.runningServer;
    for (const Crash &crash : record.crashes) {
        if (!crash.takenBack)
            notice.crashes.push_back({crash.server, now - crash.time, crash.weight});
    }
    if (record.clearedAt)
        notice.sinceCompletion = now - *record.clearedAt;
    return notice;
}

} // namespace dotterel
