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
constexpr double SlownessHalfLifeSeconds = 60;
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
    , stuckPause(MinStallBackoff)
{}

void LoadEstimate::add(const DispatchedWork &work, TimePoint now)
{
    this->advance(now);
    Entry entry;
    entry.work = work;
    entry.remaining = work.seconds;
    entry.dispatched = now;
    entry.metIdleServer = this->idle();
    const auto position =
            std::upper_bound(this->entries.begin(), this->entries.end(), work.priority,
                             [](std::int64_t priority, const Entry &other) {
                                 return priority < other.work.priority;
                             });
    this->entries.insert(position, entry);
    const double factor = this->decay(now);
    for (double &seconds : this->arrivingSeconds)
        seconds *= factor;
    this->arrivalsAt = now;
    this->arrivingSeconds[bandIndex(work.tokens)] += work.seconds;
}

void LoadEstimate::firstToken(const WorkKey &key, TimePoint now)
{
    this->advance(now);
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&key](const Entry &entry) { return entry.work.key == key; });
    if (found == this->entries.end() || found->prefilled)
        return;
    this->learn(*found, now);
    this->progressAt = now;
    this->stuckUntil = {};
    this->stuckPause = MinStallBackoff;
    found->prefilled = true;
    found->remaining = 0;
    // Short prompts release their memory soon after, so peers send no Ended event for them.
    if (found->work.tokens <= ShortPromptTokens)
        this->entries.erase(found);
}

void LoadEstimate::end(const WorkKey &key, TimePoint now)
{
    this->advance(now);
    const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&key](const Entry &entry) { return entry.work.key == key; });
    if (found == this->entries.end())
        return;
    this->noteLost(*found, now);
    // Work that ended before its first token does not count as demand on the server.
    if (!found->prefilled) {
        double &arriving = this->arrivingSeconds[bandIndex(found->work.tokens)];
        arriving = std::max(0.0, arriving - found->work.seconds);
    }
    this->entries.erase(found);
}

void LoadEstimate::report(const LoadReport &report, TimePoint now)
{
    this->advance(now);
    if (report.queuedByBand.size() != LengthBandCount) {
        this->reportTotal(static_cast<double>(report.queuedPromptTokens));
        return;
    }
    std::array<double, LengthBandCount> knownSeconds{};
    for (const Entry &entry : this->entries) {
        if (!entry.prefilled)
            knownSeconds[bandIndex(entry.work.tokens)] += entry.remaining;
    }
    for (std::size_t band = 0; band < LengthBandCount; ++band) {
        const double reported =
                this->settings.prefill.seconds(static_cast<double>(report.queuedByBand[band]));
        this->unknownSeconds[band] = std::max(0.0, reported - knownSeconds[band]);
    }
}

void LoadEstimate::reportTotal(double queuedTokens)
{
    double knownSeconds = 0;
    for (const Entry &entry : this->entries)
        knownSeconds += entry.prefilled ? 0 : entry.remaining;
    this->unknownSeconds = {};
    this->unknownSeconds[bandIndex(AssumedPromptTokens)] =
            std::max(0.0, this->settings.prefill.seconds(queuedTokens) - knownSeconds);
}

double LoadEstimate::waitSeconds(std::uint64_t tokens, std::int64_t priority, TimePoint now)
{
    this->advance(now);
    const bool hasMemory = tokens <= ShortPromptTokens || this->fits(tokens);
    double aheadSeconds = 0;
    bool busy = false;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled)
            continue;
        busy = true;
        const bool runsBefore = entry.work.priority <= priority || !hasMemory;
        if (runsBefore || this->settings.countAllWork)
            aheadSeconds += entry.remaining;
    }
    const std::size_t ownBand = bandIndex(tokens);
    for (std::size_t band = 0; band < LengthBandCount; ++band) {
        busy = busy || this->unknownSeconds[band] > 0;
        if (band < ownBand || this->settings.countAllWork)
            aheadSeconds += this->unknownSeconds[band];
        else if (band == ownBand)
            aheadSeconds += this->unknownSeconds[band] / 2;
    }
    if (busy && aheadSeconds <= 0)
        aheadSeconds = this->chunkSeconds() / 2;
    return aheadSeconds * this->slow + this->overdueSeconds(now);
}

WorkBehind LoadEstimate::behind(std::uint64_t tokens, std::int64_t priority, TimePoint now)
{
    this->advance(now);
    WorkBehind behind;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled || entry.work.priority <= priority)
            continue;
        behind.count += 1;
        behind.inverseSeconds += 1 / std::max(MinPrefillSeconds, entry.work.seconds);
    }
    for (std::size_t band = bandIndex(tokens) + 1; band < LengthBandCount; ++band) {
        const double typicalSeconds = this->settings.prefill.seconds(TypicalPromptTokens[band]);
        const double pieceCount = std::ceil(this->unknownSeconds[band] / typicalSeconds);
        behind.count += pieceCount;
        behind.inverseSeconds += pieceCount / typicalSeconds;
    }
    return behind;
}

double LoadEstimate::shorterUtilisation(std::uint64_t tokens, TimePoint now) const
{
    double seconds = 0;
    for (std::size_t band = 0; band < bandIndex(tokens); ++band)
        seconds += this->arrivingSeconds[band];
    return seconds * this->decay(now) * this->slow / UtilisationWindowSeconds;
}

double LoadEstimate::utilisation(TimePoint now) const
{
    double seconds = 0;
    for (const double band : this->arrivingSeconds)
        seconds += band;
    return seconds * this->decay(now) / UtilisationWindowSeconds;
}

bool LoadEstimate::idle() const
{
    const auto isWaiting = [](const Entry &entry) { return !entry.prefilled; };
    const auto unknown = [](double seconds) { return seconds > 0; };
    return std::none_of(this->entries.begin(), this->entries.end(), isWaiting)
           && std::none_of(this->unknownSeconds.begin(), this->unknownSeconds.end(), unknown);
}

bool LoadEstimate::stuck(TimePoint now)
{
    this->advance(now);
    return now < this->stuckUntil || this->overdueSeconds(now) > StalledSeconds;
}

void LoadEstimate::advance(TimePoint now)
{
    if (now <= this->advancedAt)
        return;
    const double elapsed = toSeconds(now - this->advancedAt);
    this->advancedAt = now;
    this->replay(elapsed / this->slow);
    for (Entry &entry : this->entries) {
        if (entry.remaining <= 0 && entry.expected == TimePoint{})
            entry.expected = now;
    }
    // A measured slowdown decays, so that the server is tried again; a measured speed-up is kept.
    if (this->slow > 1)
        this->slow = 1 + (this->slow - 1) * std::exp2(-elapsed / SlownessHalfLifeSeconds);
    this->dropExpired(now);
}

void LoadEstimate::replay(double seconds)
{
    for (Entry &entry : this->entries) {
        const double done = std::min(entry.remaining, seconds);
        entry.remaining -= done;
        seconds -= done;
    }
    for (double &unknown : this->unknownSeconds) {
        const double done = std::min(unknown, seconds);
        unknown -= done;
        seconds -= done;
    }
}

void LoadEstimate::dropExpired(TimePoint now)
{
    const auto expired = [now](const Entry &entry) {
        return entry.remaining <= 0 && now - entry.expected > MaxFinishedRetention;
    };
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(), expired),
                        this->entries.end());
}

void LoadEstimate::learn(const Entry &entry, TimePoint now)
{
    this->measured = true;
    const double elapsed = toSeconds(now - entry.dispatched);
    const double expected = entry.remaining > 0 ? elapsed + entry.remaining * this->slow
                                                : toSeconds(entry.expected - entry.dispatched);
    const double slowdownRatio = elapsed / (expected + FirstTokenToleranceSeconds);
    if (slowdownRatio < SlowdownUpdateThreshold && slowdownRatio > 1 / SlowdownUpdateThreshold)
        return;
    // Only work that found the server idle shows that it is faster than nominal. Otherwise the
    // predicted queue may have been too long, and half of a prompt may have been cached.
    const bool isFaster = entry.metIdleServer && elapsed < expected * FasterServerThreshold;
    const double lowerBound = isFaster ? MinSlowdown : std::min(1.0, this->slow);
    this->slow = std::clamp(this->slow * std::pow(slowdownRatio, SlowdownUpdateExponent),
                            lowerBound, MaxSlowdown);
}

void LoadEstimate::noteLost(const Entry &entry, TimePoint now)
{
    const bool overdue = !entry.prefilled && entry.remaining <= 0
                         && toSeconds(now - entry.expected) > StalledSeconds;
    if (!overdue || now < this->stuckUntil)
        return;
    this->stuckUntil = now + this->stuckPause;
    this->stuckPause = std::min(this->stuckPause * 2, MaxStallBackoff);
}

double LoadEstimate::chunkSeconds() const
{
    double context = 0;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled)
            continue;
        const double done = 1 - entry.remaining / std::max(MinPrefillSeconds, entry.work.seconds);
        context = done * static_cast<double>(entry.work.tokens)
                  + static_cast<double>(entry.work.context);
        break;
    }
    return this->settings.prefill.seconds(static_cast<double>(this->settings.chunkTokens), context);
}

double LoadEstimate::overdueSeconds(TimePoint now) const
{
    double maxOverdue = 0;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled || entry.remaining > 0)
            continue;
        const double toleranceSeconds =
                OverdueToleranceSeconds
                + OverdueToleranceFraction * toSeconds(entry.expected - entry.dispatched);
        const double overdue = toSeconds(now - std::max(entry.expected, this->progressAt));
        maxOverdue = std::max(maxOverdue, overdue > toleranceSeconds ? overdue : 0);
    }
    return maxOverdue;
}

bool LoadEstimate::fits(std::uint64_t tokens) const
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
                                                   - entry.remaining
                                                             / std::max(MinPrefillSeconds,
                                                                        entry.work.seconds))
                                      : heldTokens;
    }
    const auto capacityTokens = static_cast<double>(this->settings.memoryTokens);
    return usedTokens
           <= (isLong ? capacityTokens * this->settings.longMemoryShare : capacityTokens);
}

double LoadEstimate::decay(TimePoint now) const
{
    return std::exp(-toSeconds(now - this->arrivalsAt) / UtilisationWindowSeconds);
}

} // namespace dotterel
