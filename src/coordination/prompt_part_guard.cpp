#include "coordination/prompt_part_guard.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

CrashLimits crashLimitsOf(const PromptPartLimits &limits)
{
    CrashLimits result;
    result.subject = CrashSubject::PromptPart;
    result.maxCrashes = limits.maxWeight;
    result.maxRecordedCrashes = limits.maxRecordedCrashes;
    result.refusalTime = limits.firstTrialDelay;
    result.maxRefusalDoublings = limits.maxTrialDoublings;
    result.commonCauseWindow = limits.commonCauseWindow;
    return result;
}

} // namespace

PromptPartGuard::PromptPartGuard(const PromptPartLimits &limits, Metrics &metrics, EventLog &log)
    : limits(limits)
    , crashes(crashLimitsOf(limits), metrics, log)
    , isOwnTrial([](const std::string & /*key*/) { return true; })
{}

std::vector<std::string> PromptPartGuard::keys(const std::string &workspace,
                                               const std::string &route,
                                               const std::vector<std::string> &parts)
{
    const std::string scope = toHex(hash64(workspace + '\n' + route));
    std::vector<std::string> keys;
    keys.reserve(parts.size());
    for (const std::string &part : parts)
        keys.push_back(scope + hash128Hex(part));
    return keys;
}

std::string PromptPartGuard::refusedKey(const std::vector<std::string> &keys, TimePoint now)
{
    for (const std::string &key : keys) {
        if (!this->isAccused(key, now)) {
            this->trials.erase(key);
            continue;
        }
        const auto trial = this->trials.find(key);
        const bool isTried =
                trial != this->trials.end() && now - trial->second < this->limits.trialTime;
        if (isTried || this->isRefusalTime(key, now))
            return key;
        if (this->trials.size() >= this->limits.maxTrials)
            this->trials.clear();
        this->trials[key] = now;
    }
    return {};
}

const std::string *PromptPartGuard::findRefused(const std::vector<std::string> &keys,
                                                TimePoint now) const
{
    const auto refused =
            std::find_if(keys.begin(), keys.end(), [this, now](const std::string &key) {
                return this->isRefusalTime(key, now);
            });
    return refused == keys.end() ? nullptr : &*refused;
}

std::size_t PromptPartGuard::maxWeight(const std::string &key, TimePoint now) const
{
    const std::optional<TimePoint> soundAt = this->lastSoundAt(key);
    return soundAt && now - *soundAt < this->limits.soundMemory ? this->limits.maxWeightIfSound
                                                                : this->limits.maxWeight;
}

bool PromptPartGuard::isAccused(const std::string &key, TimePoint now) const
{
    const std::size_t weight = this->crashes.crashCount(key, now);
    const std::size_t maxWeight = this->maxWeight(key, now);
    if (weight < maxWeight)
        return false;
    const std::optional<TimePoint> soundAt = this->lastSoundAt(key);
    const auto outranks = [&](const std::string &other) {
        if (this->crashes.recordedCrashes(other, now) < this->limits.minExplainingCrashes)
            return false;
        const std::optional<TimePoint> otherSoundAt = this->lastSoundAt(other);
        if (otherSoundAt != soundAt)
            return otherSoundAt < soundAt;
        const std::size_t otherWeight = this->crashes.crashCount(other, now);
        return otherWeight != weight ? otherWeight > weight : other < key;
    };
    return this->crashes.unexplainedWeight(key, outranks, now) >= maxWeight;
}

bool PromptPartGuard::isRefusalTime(const std::string &key, TimePoint now) const
{
    if (!this->isAccused(key, now))
        return false;
    const int timeFactor = this->isOwnTrial(key) ? 1 : this->limits.otherHostsFactor;
    return this->crashes.shouldRefuse(key, {this->maxWeight(key, now), timeFactor}, now);
}

std::vector<CrashNotice> PromptPartGuard::onServerCrashed(const std::vector<std::string> &keys,
                                                          bool hasBegun, const ServerId &server,
                                                          TimePoint now, CrashContext context)
{
    context.weight = hasBegun ? this->limits.beginningWeight : this->limits.waitingWeight;
    std::optional<TimePoint> oldest; // Of the parts that were ever sound.
    bool hasUnknown = false;
    for (const std::string &key : keys) {
        const std::optional<TimePoint> soundAt = this->lastSoundAt(key);
        hasUnknown = hasUnknown || !soundAt;
        if (soundAt && (!oldest || *soundAt < *oldest))
            oldest = soundAt;
    }
    std::vector<CrashNotice> notices;
    // Later parts are shared by fewer prompts, so that of several the last one is accused first.
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        const std::optional<TimePoint> soundAt = this->lastSoundAt(*key);
        if (hasUnknown ? soundAt.has_value() : soundAt != oldest)
            continue;
        notices.push_back(this->crashes.onServerCrashed(*key, server, now, context));
        context.weight = this->limits.waitingWeight;
    }
    return notices;
}

std::vector<CrashNotice> PromptPartGuard::onSoundResponse(const std::vector<std::string> &keys,
                                                          TimePoint now,
                                                          const CrashContext &context)
{
    std::vector<CrashNotice> notices;
    for (const std::string &key : keys) {
        this->rememberSound(key, now);
        if (this->crashes.crashCount(key, now) > 0)
            notices.push_back(this->crashes.onFinished(key, now, context));
    }
    return notices;
}

PromptPartGuard::NoticeResult PromptPartGuard::onNotice(const CrashNotice &notice, TimePoint now)
{
    NoticeResult result;
    result.isNews = this->crashes.onNotice(notice, now);
    const std::optional<TimePoint> ownSound = this->lastSoundAt(notice.fingerprint);
    if (!ownSound || notice.crashes.empty())
        return result;
    const std::optional<TimePoint> known =
            notice.sinceCompletion ? std::optional<TimePoint>(now - *notice.sinceCompletion)
                                   : std::nullopt;
    if (known && *ownSound - *known < this->limits.soundReminderInterval)
        return result;
    const CrashContext context{{}, "sound before", now - *ownSound, 1};
    result.reminder = this->crashes.onFinished(notice.fingerprint, now, context);
    return result;
}

std::optional<TimePoint> PromptPartGuard::lastSoundAt(const std::string &key) const
{
    std::optional<TimePoint> latest = this->crashes.completedAt(key);
    for (const auto *generation : {&this->soundParts, &this->olderSoundParts}) {
        const auto found = generation->find(key);
        if (found != generation->end() && (!latest || *latest < found->second))
            latest = found->second;
    }
    return latest;
}

void PromptPartGuard::rememberSound(const std::string &key, TimePoint now)
{
    if (this->soundParts.size() >= this->limits.maxSoundParts / 2
        && this->soundParts.count(key) == 0) {
        this->olderSoundParts = std::move(this->soundParts);
        this->soundParts.clear();
    }
    this->soundParts[key] = now;
}

} // namespace dotterel
