#include "gateway/crash_suspect_keeper.h"

#include "gateway/crash_suspect_entries.h"

#include <algorithm>

namespace dotterel {

CrashSuspectKeeper::CrashSuspectKeeper(const CrashSuspectKeeping &keeping)
    : keeping(keeping)
{}

CrashSuspectKeeper::Content CrashSuspectKeeper::contentOf(const CrashNotice &notice)
{
    Content content;
    for (const CrashRecord &crash : notice.crashes)
        content.emplace_back(crash.server, crash.weight);
    std::sort(content.begin(), content.end());
    return content;
}

void CrashSuspectKeeper::onListed(const CrashNotice &notice, TimePoint now)
{
    Entry &entry = this->entries[crashSuspectName(notice)];
    entry.stored = contentOf(notice);
    entry.changedAt = now;
}

std::vector<CrashSuspectKeeper::Change>
CrashSuspectKeeper::takeDue(const std::vector<CrashNotice> &suspects, const TaskFilter &isOwnTask,
                            TimePoint now)
{
    std::map<std::string, const CrashNotice *> kept;
    for (const CrashNotice &suspect : suspects) {
        if (suspect.crashes.size() >= this->keeping.minCrashes)
            kept[crashSuspectName(suspect)] = &suspect;
    }
    for (const auto &[name, suspect] : kept)
        this->setWanted(this->entries[name], contentOf(*suspect), now);
    std::vector<Change> changes;
    for (auto item = this->entries.begin(); item != this->entries.end();) {
        auto &[name, entry] = *item;
        const auto suspect = kept.find(name);
        if (suspect == kept.end())
            this->setWanted(entry, {}, now);
        if (this->isDue(name, entry, isOwnTask, now)) {
            entry.sent = entry.wanted;
            entry.sentBeforeRestore = false;
            changes.push_back({name, suspect == kept.end()
                                             ? std::nullopt
                                             : std::optional<CrashNotice>(*suspect->second)});
        }
        const bool isForgotten = entry.wanted.empty() && entry.stored == entry.wanted && !entry.sent
                                 && now - entry.changedAt >= this->keeping.removalMemory;
        item = isForgotten ? this->entries.erase(item) : std::next(item);
    }
    return changes;
}

void CrashSuspectKeeper::setWanted(Entry &entry, Content wanted, TimePoint now)
{
    if (entry.wanted == wanted)
        return;
    entry.wanted = std::move(wanted);
    entry.changedAt = now;
    entry.retryAt = TimePoint();
    entry.backoff = Duration::zero();
}

bool CrashSuspectKeeper::isDue(const std::string &name, Entry &entry, const TaskFilter &isOwnTask,
                               TimePoint now) const
{
    if (entry.stored == entry.wanted || entry.sent || now < entry.retryAt)
        return false;
    const Duration sinceChange = now - entry.changedAt;
    if (!isOwnTask(name)) {
        if (sinceChange >= this->keeping.takeoverTime)
            entry.stored = entry.wanted;
        return false;
    }
    const bool isUrgent =
            entry.wanted.empty() || entry.wanted.size() >= this->keeping.urgentCrashes;
    return isUrgent || sinceChange >= this->keeping.settlingTime;
}

void CrashSuspectKeeper::onWritten(const std::string &name, bool succeeded, TimePoint now)
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end() || !found->second.sent)
        return;
    Entry &entry = found->second;
    // What a call before the restore has written may be missing from the copy.
    if (succeeded && !entry.sentBeforeRestore) {
        entry.stored = entry.sent;
        entry.backoff = Duration::zero();
    } else if (!succeeded) {
        // The call may have taken effect all the same.
        entry.stored.reset();
        entry.backoff = std::clamp(entry.backoff * 2, this->keeping.initialBackoff,
                                   this->keeping.maxBackoff);
        entry.retryAt = now + entry.backoff;
    }
    entry.sent.reset();
}

void CrashSuspectKeeper::onStoreRestored(TimePoint now)
{
    for (auto &[name, entry] : this->entries) {
        entry.stored.reset();
        entry.sentBeforeRestore = entry.sent.has_value();
        entry.changedAt = now;
        entry.retryAt = TimePoint();
    }
}

} // namespace dotterel
