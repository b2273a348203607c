#pragma once

#include "core/time.h"
#include "protocol/crash_notice.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Timings and limits of a CrashSuspectKeeper.
struct CrashSuspectKeeping
{
    /// Number of crashes from which on a suspect is kept.
    std::size_t minCrashes = 2;
    /// Number of crashes from which on it is written at once. Most suspects with fewer are cleared
    /// within settlingTime.
    std::size_t urgentCrashes = 3;
    Duration settlingTime = std::chrono::seconds(1);
    /// Bounds of the back-off after a failed call.
    Duration initialBackoff = std::chrono::milliseconds(500);
    Duration maxBackoff = std::chrono::seconds(8);
    /// The hosts that have to make a change are taken to have made it after this time, so that
    /// others do not repeat it when the task becomes theirs.
    Duration takeoverTime = std::chrono::seconds(10);
    /// How long a removal may be undone by a store that comes back from an older copy.
    Duration removalMemory = std::chrono::minutes(1);
};

/// Decides which suspects of crashing backend servers the platform's store keeps, and which changes
/// this host has to make there, so that suspects outlive the loss of all hosts. Performs no I/O and
/// reads no clock.
class CrashSuspectKeeper
{
public:
    using TaskFilter = std::function<bool(const std::string &name)>;

    explicit CrashSuspectKeeper(const CrashSuspectKeeping &keeping);

    /// A change of one entry of the store.
    struct Change
    {
        std::string name;                   ///< See crashSuspectName().
        std::optional<CrashNotice> suspect; ///< What the entry says; nullopt if it is removed.
    };

    /// Returns true if no entry is known or awaited.
    bool empty() const { return this->entries.empty(); }

    /// The store has an entry that says \a notice.
    void onListed(const CrashNotice &notice, TimePoint now);

    /// Returns the changes that this host has to make now, given the suspects that it knows.
    /// \a isOwnTask tells whether this host is one of those that write the entry with a name. Each
    /// change is to be answered by onWritten().
    std::vector<Change> takeDue(const std::vector<CrashNotice> &suspects,
                                const TaskFilter &isOwnTask, TimePoint now);

    /// The call for the change of \a name has ended. One that failed is repeated.
    void onWritten(const std::string &name, bool succeeded, TimePoint now);

    /// The store came back from an older copy, which may lack entries and have removed ones.
    void onStoreRestored(TimePoint now);

private:
    /// Crashes of a suspect in a form that can be compared; empty if there is no suspect.
    using Content = std::vector<std::pair<ServerId, std::size_t>>;

    struct Entry
    {
        std::optional<Content> stored = Content(); ///< nullopt if it is unknown what the store has.
        Content wanted;
        TimePoint changedAt; ///< When `wanted`, or the knowledge of the store, last changed.
        std::optional<Content> sent; ///< Set while a call is running.
        bool sentBeforeRestore = false;
        TimePoint retryAt;
        Duration backoff = Duration::zero();
    };

    static Content contentOf(const CrashNotice &notice);
    void setWanted(Entry &entry, Content wanted, TimePoint now);
    /// Returns true if this host has to change the entry \a name now.
    bool isDue(const std::string &name, Entry &entry, const TaskFilter &isOwnTask,
               TimePoint now) const;

    CrashSuspectKeeping keeping;
    std::map<std::string, Entry> entries; ///< By name.
};

} // namespace dotterel
