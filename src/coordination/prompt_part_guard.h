#pragma once

#include "coordination/crash_guard.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

/// Limits of a PromptPartGuard.
struct PromptPartLimits
{
    /// Weight of a crash of a server that had begun to respond to the prompt, but sent no event.
    std::size_t beginningWeight = 2;
    /// Weight of one that had not begun, since most of these prompts are innocent, and for parts
    /// before the last one that never had a sound response.
    std::size_t waitingWeight = 1;
    /// Weight at which a part is refused: three servers that crashed as they began to respond.
    std::size_t maxWeight = 6;
    /// Likewise for a part that had a sound response within soundMemory: five servers.
    std::size_t maxWeightIfSound = 10;
    Duration soundMemory = std::chrono::minutes(1);
    /// Number of latest crashes that are kept for a part. Other parts may explain some of them.
    std::size_t maxRecordedCrashes = 8;
    /// A part explains crashes that accuse others as well if it has at least this many.
    std::size_t minExplainingCrashes = 2;
    /// Crashes this close together may have one cause, such as the loss of a rack, and count once.
    Duration commonCauseWindow = std::chrono::milliseconds(100);
    /// A refused part is tried again after this time without a crash, and after twice as long for
    /// each further crash.
    Duration firstTrialDelay = std::chrono::seconds(20);
    std::size_t maxTrialDoublings = 3;
    /// One host tries a part for all; the others refuse it this many times as long.
    int otherHostsFactor = 8;
    /// No other prompt with a part is let through this long after its trial began.
    Duration trialTime = std::chrono::seconds(5);
    std::size_t maxTrials = 1'024;
    /// Number of parts whose sound responses are remembered.
    std::size_t maxSoundParts = 8'192;
    /// A host that knows of a sound response says so again to hosts that accuse the part, if what
    /// they know is older by this.
    Duration soundReminderInterval = std::chrono::seconds(5);
};

/// Detects parts of prompts that crash each backend server that begins to respond to a prompt with
/// them, whatever else the prompt holds.
///
/// A crash accuses, of each prompt for which the server had not sent an event yet, the part that
/// went longest without a sound response; parts that never had one come first, and of these the
/// last one weighs most. So a part that many prompts share is not accused along with a rare one. A
/// sound response clears all parts of its prompt. A crash that accuses several parts, of one prompt
/// or of several, is explained by the one that went longest without a sound response. What hosts
/// find is exchanged as CrashNotice. Performs no I/O and reads no clock.
class PromptPartGuard
{
public:
    PromptPartGuard(const PromptPartLimits &limits, Metrics &metrics, EventLog &log);

    /// Returns the keys of \a parts, which are valid within a workspace and a route.
    static std::vector<std::string> keys(const std::string &workspace, const std::string &route,
                                         const std::vector<std::string> &parts);

    /// Sets which host tries a refused part first: \a isOwnTask tells whether it is this one.
    void setTrialDuty(std::function<bool(const std::string &key)> isOwnTask)
    {
        this->isOwnTrial = std::move(isOwnTask);
    }

    /// Returns true if there are no suspects, so that computing keys can be skipped.
    bool empty() const { return this->crashes.empty(); }

    /// Returns the key for which a prompt with the parts \a keys is refused; empty if for none. A
    /// prompt that is let through although one of its parts has been refused is its trial.
    std::string refusedKey(const std::vector<std::string> &keys, TimePoint now);

    /// Returns the element of \a keys that is refused now, or nullptr. Begins no trial.
    const std::string *findRefused(const std::vector<std::string> &keys, TimePoint now) const;

    /// Called when \a server crashed and had not sent more than the first events of the response to
    /// a prompt with the parts \a keys. \a hasBegun tells whether its head had arrived, but no
    /// event. Returns the notices for other hosts.
    std::vector<CrashNotice> onServerCrashed(const std::vector<std::string> &keys, bool hasBegun,
                                             const ServerId &server, TimePoint now,
                                             CrashContext context);

    /// Called when the response to a prompt with the parts \a keys proved to be sound. Returns the
    /// notices for other hosts.
    std::vector<CrashNotice> onSoundResponse(const std::vector<std::string> &keys, TimePoint now,
                                             const CrashContext &context);

    /// See CrashGuard.
    void
    takeBackCrashes(const std::function<bool(const ServerId &server, TimePoint crashedAt)> &livedOn)
    {
        this->crashes.takeBackCrashes(livedOn);
    }

    /// See CrashGuard.
    bool isKnown(const CrashNotice &notice, TimePoint now) const
    {
        return this->crashes.isKnown(notice, now);
    }

    /// See CrashGuard.
    std::vector<ServerId> crashedServers(const std::string &key) const
    {
        return this->crashes.crashedServers(key);
    }

    /// What a notice of another host means for this one.
    struct NoticeResult
    {
        bool isNews = false; ///< It contained a new crash or clearance and has to be passed on.
        std::optional<CrashNotice> reminder; ///< Says when the accused part was last sound.
    };
    NoticeResult onNotice(const CrashNotice &notice, TimePoint now);

    /// See CrashGuard.
    std::vector<CrashNotice> notices(TimePoint now) const { return this->crashes.notices(now); }
    std::vector<CrashNotice> recurringNotices(TimePoint now) const
    {
        return this->crashes.recurringNotices(now);
    }
    CrashGuard::Totals totals(TimePoint now) const { return this->crashes.totals(now); }

private:
    std::size_t maxWeight(const std::string &key, TimePoint now) const;
    /// Returns true if the crashes that no likelier part explains reach the limit.
    bool isAccused(const std::string &key, TimePoint now) const;
    bool isRefusalTime(const std::string &key, TimePoint now) const;
    std::optional<TimePoint> lastSoundAt(const std::string &key) const;
    void rememberSound(const std::string &key, TimePoint now);

    PromptPartLimits limits;
    CrashGuard crashes;
    std::function<bool(const std::string &key)> isOwnTrial;
    std::unordered_map<std::string, TimePoint> trials; ///< Start of the latest trial, by key.
    /// Parts with a sound response, in two generations: the older one is dropped when the newer one
    /// is full.
    std::unordered_map<std::string, TimePoint> soundParts;
    std::unordered_map<std::string, TimePoint> olderSoundParts;
};

} // namespace dotterel
