#include "coordination/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

constexpr double MinPrefillSeconds = 0.001; ///< Lower bound, for work without a prompt.
constexpr double UtilisationWindowSeconds = 10;
constexpr double MaxSlowdown = 20;
constexpr double MinSlowdown = 0.02;
constexpr double SlowdownUpdateExponent = 0.3;
constexpr double SlowdownUpdateThreshold = 1.5;
constexpr double FasterServerThreshold = 0.4;
constexpr double OverdueToleranceFraction = 0.25; ///< Fraction of the expected time.
constexpr double SlowdownHalfLifeSeconds = 60;
constexpr double FirstTokenToleranceSeconds = 0.03;
constexpr double OverdueToleranceSeconds = 0.03;
constexpr double StalledSeconds = 0.5;
constexpr Duration MaxFinishedRetention = std::chrono::seconds(30);
constexpr Duration MinStallBackoff = std::chrono::seconds(2);
constexpr Duration MaxStallBackoff = std::chrono::seconds(30);

/// Typical prompt length of each length band.
constexpr std::array<double, LengthBandCount> TypicalPromptTokens = {2'200,  8'600,   34'000,
                                                                     80'000, 165'000, 530'000};

/// Assumed prompt length for load reports without a distribution by length band.
constexpr std::uint64_t AssumedPromptTokens = 16'000;

std::size_t bandIndex(std::uint64_t tokens)
{
    return static_cast<std::size_t>(lengthBand(tokens));
}

} // namespace

LoadEstimate::LoadEstimate(const PlacementSettings &settings)
    : settings(settings)
    , stallBackoff(MinStallBackoff)
{}

void LoadEstimate::onDispatched(const DispatchedWork &work, TimePoint now)
{
    this->advanceTo(now);
    Entry entry;
    entry.work = work;
    entry.remainingSeconds = work.prefillSeconds;
    entry.dispatchedAt = now;
    entry.foundServerIdle = this->isIdle();
    const auto position =
            std::upper_bound(this->entries.begin(), this->entries.end(), work.priority,
                             [](std::int64_t priority, const Entry &other) {
                                 return priority < other.work.priority;
                             });
    this->entries.insert(position, entry);
    const double decayFactor = this->recentWorkDecay(now);
    for (double &seconds : this->recentWorkSeconds)
        seconds *= decayFactor;
    this->recentWorkUpdatedAt = now;
    this->recentWorkSeconds[bandIndex(work.tokens)] += work.prefillSeconds;
}

void LoadEstimate::onFirstToken(const WorkKey &key, TimePoint now)
{
    this->advanceTo(now);
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&key](const Entry &entry) { return entry.work.key == key; });
    if (found == this->entries.end() || found->prefilled)
        return;
    this->updateSlowdown(*found, now);
    this->lastFirstTokenAt = now;
    this->stalledUntil = {};
    this->stallBackoff = MinStallBackoff;
    found->prefilled = true;
    found->remainingSeconds = 0;
    // Short prompts release their memory soon after, so peers send no Ended event for them.
    if (found->work.tokens <= ShortPromptTokens)
        this->entries.erase(found);
}

void LoadEstimate::onEnded(const WorkKey &key, TimePoint now)
{
    this->advanceTo(now);
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&key](const Entry &entry) { return entry.work.key == key; });
    if (found == this->entries.end())
        return;
    this->recordStalledEnd(*found, now);
    // Work that ended before its first token does not count as demand on the server.
    if (!found->prefilled) {
        double &recentSeconds = this->recentWorkSeconds[bandIndex(found->work.tokens)];
        recentSeconds = std::max(0.0, recentSeconds - found->work.prefillSeconds);
    }
    this->entries.erase(found);
}

void LoadEstimate::onLoadReport(const LoadReport &report, TimePoint now)
{
    this->advanceTo(now);
    if (report.queuedByBand.size() != LengthBandCount) {
        this->applyTotalReport(static_cast<double>(report.queuedPromptTokens));
        return;
    }
    std::array<double, LengthBandCount> knownSeconds{};
    for (const Entry &entry : this->entries) {
        if (!entry.prefilled)
            knownSeconds[bandIndex(entry.work.tokens)] += entry.remainingSeconds;
    }
    for (std::size_t band = 0; band < LengthBandCount; ++band) {
        const double reportedSeconds =
                this->settings.prefill.seconds(static_cast<double>(report.queuedByBand[band]));
        this->unattributedSeconds[band] = std::max(0.0, reportedSeconds - knownSeconds[band]);
    }
}

void LoadEstimate::applyTotalReport(double queuedTokens)
{
    double knownSeconds = 0;
    for (const Entry &entry : this->entries)
        knownSeconds += entry.prefilled ? 0 : entry.remainingSeconds;
    this->unattributedSeconds = {};
    this->unattributedSeconds[bandIndex(AssumedPromptTokens)] =
            std::max(0.0, this->settings.prefill.seconds(queuedTokens) - knownSeconds);
}

double LoadEstimate::queueWaitSeconds(std::uint64_t tokens, std::int64_t priority, TimePoint now)
{
    this->advanceTo(now);
    const bool hasMemory = tokens <= ShortPromptTokens || this->fitsInMemory(tokens);
    double aheadSeconds = 0;
    bool busy = false;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled)
            continue;
        busy = true;
        const bool runsBefore = entry.work.priority <= priority || !hasMemory;
        if (runsBefore || this->settings.countLowerPriorityWork)
            aheadSeconds += entry.remainingSeconds;
    }
    const std::size_t ownBand = bandIndex(tokens);
    for (std::size_t band = 0; band < LengthBandCount; ++band) {
        busy = busy || this->unattributedSeconds[band] > 0;
        if (band < ownBand || this->settings.countLowerPriorityWork)
            aheadSeconds += this->unattributedSeconds[band];
        else if (band == ownBand)
            aheadSeconds += this->unattributedSeconds[band] / 2;
    }
    if (busy && aheadSeconds <= 0)
        aheadSeconds = this->currentChunkSeconds() / 2;
    return aheadSeconds * this->slowdown + this->overdueSeconds(now);
}

DelayedWork LoadEstimate::delayedWork(std::uint64_t tokens, std::int64_t priority, TimePoint now)
{
    this->advanceTo(now);
    DelayedWork delayedWork;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled || entry.work.priority <= priority)
            continue;
        delayedWork.count += 1;
        delayedWork.inversePrefillSeconds +=
                1 / std::max(MinPrefillSeconds, entry.work.prefillSeconds);
    }
    for (std::size_t band = bandIndex(tokens) + 1; band < LengthBandCount; ++band) {
        const double typicalSeconds = this->settings.prefill.seconds(TypicalPromptTokens[band]);
        const double promptCount = std::ceil(this->unattributedSeconds[band] / typicalSeconds);
        delayedWork.count += promptCount;
        delayedWork.inversePrefillSeconds += promptCount / typicalSeconds;
    }
    return delayedWork;
}

double LoadEstimate::shorterUtilisation(std::uint64_t tokens, TimePoint now) const
{
    double seconds = 0;
    for (std::size_t band = 0; band < bandIndex(tokens); ++band)
        seconds += this->recentWorkSeconds[band];
    return seconds * this->recentWorkDecay(now) * this->slowdown / UtilisationWindowSeconds;
}

double LoadEstimate::utilisation(TimePoint now) const
{
    double seconds = 0;
    for (const double band : this->recentWorkSeconds)
        seconds += band;
    return seconds * this->recentWorkDecay(now) / UtilisationWindowSeconds;
}

bool LoadEstimate::isIdle() const
{
    const auto isWaiting = [](const Entry &entry) { return !entry.prefilled; };
    const auto isPositive = [](double seconds) { return seconds > 0; };
    return std::none_of(this->entries.begin(), this->entries.end(), isWaiting)
           && std::none_of(this->unattributedSeconds.begin(), this->unattributedSeconds.end(),
                           isPositive);
}

bool LoadEstimate::isStalled(TimePoint now)
{
    this->advanceTo(now);
    return now < this->stalledUntil || this->overdueSeconds(now) > StalledSeconds;
}

void LoadEstimate::advanceTo(TimePoint now)
{
    if (now <= this->simulatedUntil)
        return;
    const double elapsed = toSeconds(now - this->simulatedUntil);
    this->simulatedUntil = now;
    this->simulate(elapsed / this->slowdown);
    for (Entry &entry : this->entries) {
        if (entry.remainingSeconds <= 0 && entry.expectedFinish == TimePoint{})
            entry.expectedFinish = now;
    }
    // A measured slowdown decays, so that the server is tried again; a measured speed-up is kept.
    if (this->slowdown > 1)
        this->slowdown = 1 + (this->slowdown - 1) * std::exp2(-elapsed / SlowdownHalfLifeSeconds);
    this->removeExpired(now);
}

void LoadEstimate::simulate(double seconds)
{
    for (Entry &entry : this->entries) {
        const double processed = std::min(entry.remainingSeconds, seconds);
        entry.remainingSeconds -= processed;
        seconds -= processed;
    }
    for (double &unattributed : this->unattributedSeconds) {
        const double processed = std::min(unattributed, seconds);
        unattributed -= processed;
        seconds -= processed;
    }
}

void LoadEstimate::removeExpired(TimePoint now)
{
    const auto expired = [now](const Entry &entry) {
        return entry.remainingSeconds <= 0 && now - entry.expectedFinish > MaxFinishedRetention;
    };
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(), expired),
                        this->entries.end());
}

void LoadEstimate::updateSlowdown(const Entry &entry, TimePoint now)
{
    this->hasMeasurement = true;
    const double elapsed = toSeconds(now - entry.dispatchedAt);
    const double expectedSeconds = entry.remainingSeconds > 0
                                           ? elapsed + entry.remainingSeconds * this->slowdown
                                           : toSeconds(entry.expectedFinish - entry.dispatchedAt);
    const double slowdownRatio = elapsed / (expectedSeconds + FirstTokenToleranceSeconds);
    if (slowdownRatio < SlowdownUpdateThreshold && slowdownRatio > 1 / SlowdownUpdateThreshold)
        return;
    // Only work that found the server idle shows that it is faster than nominal. Otherwise the
    // predicted queue may have been too long, and half of a prompt may have been cached.
    const bool isFaster =
            entry.foundServerIdle && elapsed < expectedSeconds * FasterServerThreshold;
    const double lowerBound = isFaster ? MinSlowdown : std::min(1.0, this->slowdown);
    this->slowdown = std::clamp(this->slowdown * std::pow(slowdownRatio, SlowdownUpdateExponent),
                                lowerBound, MaxSlowdown);
}

void LoadEstimate::recordStalledEnd(const Entry &entry, TimePoint now)
{
    const bool overdue = !entry.prefilled && entry.remainingSeconds <= 0
                         && toSeconds(now - entry.expectedFinish) > StalledSeconds;
    if (!overdue || now < this->stalledUntil)
        return;
    this->stalledUntil = now + this->stallBackoff;
    this->stallBackoff = std::min(this->stallBackoff * 2, MaxStallBackoff);
}

double LoadEstimate::currentChunkSeconds() const
{
    double contextTokens = 0;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled)
            continue;
        const double processedFraction =
                1 - entry.remainingSeconds / std::max(MinPrefillSeconds, entry.work.prefillSeconds);
        contextTokens = processedFraction * static_cast<double>(entry.work.tokens)
                        + static_cast<double>(entry.work.contextTokens);
        break;
    }
    return this->settings.prefill.seconds(static_cast<double>(this->settings.chunkTokens),
                                          contextTokens);
}

double LoadEstimate::overdueSeconds(TimePoint now) const
{
    double maxOverdue = 0;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled || entry.remainingSeconds > 0)
            continue;
        const double toleranceSeconds =
                OverdueToleranceSeconds
                + OverdueToleranceFraction * toSeconds(entry.expectedFinish - entry.dispatchedAt);
        const double overdue =
                toSeconds(now - std::max(entry.expectedFinish, this->lastFirstTokenAt));
        maxOverdue = std::max(maxOverdue, overdue > toleranceSeconds ? overdue : 0);
    }
    return maxOverdue;
}

bool LoadEstimate::fitsInMemory(std::uint64_t tokens) const
{
    const bool isLong = tokens > LongPromptTokens;
    auto usedTokens = static_cast<double>(tokens);
    for (const Entry &entry : this->entries) {
        const auto heldTokens = static_cast<double>(entry.work.tokens);
        const bool otherIsLong = entry.work.tokens > LongPromptTokens;
        // A long prompt counts only other long prompts, with the memory that they need in the end.
        // A shorter one counts all prompts, but of long ones only the memory occupied so far.
        if (isLong)
            usedTokens += otherIsLong ? heldTokens : 0;
        else
            usedTokens += otherIsLong ? heldTokens
                                                * (1
                                                   - entry.remainingSeconds
                                                             / std::max(MinPrefillSeconds,
                                                                        entry.work.prefillSeconds))
                                      : heldTokens;
    }
    const auto capacityTokens = static_cast<double>(this->settings.memoryTokens);
    return usedTokens
           <= (isLong ? capacityTokens * this->settings.longMemoryShare : capacityTokens);
}

double LoadEstimate::recentWorkDecay(TimePoint now) const
{
    return std::exp(-toSeconds(now - this->recentWorkUpdatedAt) / UtilisationWindowSeconds);
}

} // namespace dotterel
