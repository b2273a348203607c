#include "coordination/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

constexpr double LeastSeconds = 0.001; ///< Of work without a prompt.
constexpr double RateWindowSeconds = 10;
constexpr double SlowestFactor = 20;
constexpr double FastestFactor = 0.02;
constexpr double LearningExponent = 0.3;
constexpr double LearningThreshold = 1.5;
constexpr double FastThreshold = 0.4;
constexpr double OverdueToleranceShare = 0.25; ///< Of the time that was expected.
constexpr double SlownessHalfLifeSeconds = 60;
constexpr double FirstTokenToleranceSeconds = 0.03;
constexpr double OverdueToleranceSeconds = 0.03;
constexpr double StuckSeconds = 0.5;
constexpr Duration LongestStay = std::chrono::seconds(30);
constexpr Duration ShortestPause = std::chrono::seconds(2);
constexpr Duration LongestPause = std::chrono::seconds(30);

/// Tokens of a typical prompt of each length band.
constexpr std::array<double, LengthBandCount> TypicalTokens = {2'200,  8'600,   34'000,
                                                               80'000, 165'000, 530'000};

/// Length that queued tokens are taken for where a report gives no lengths.
constexpr std::uint64_t UnknownPromptTokens = 16'000;

std::size_t bandIndex(std::uint64_t tokens)
{
    return static_cast<std::size_t>(lengthBand(tokens));
}

} // namespace

LoadEstimate::LoadEstimate(const PlacementSettings &settings)
    : settings(settings)
    , stuckPause(ShortestPause)
{}

void LoadEstimate::add(const DispatchedWork &work, TimePoint now)
{
    this->advance(now);
    Entry entry;
    entry.work = work;
    entry.remaining = work.seconds;
    entry.dispatched = now;
    entry.metIdleServer = this->idle();
    const auto place = std::upper_bound(this->entries.begin(), this->entries.end(), work.priority,
                                        [](std::int64_t priority, const Entry &other) {
                                            return priority < other.work.priority;
                                        });
    this->entries.insert(place, entry);
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
    this->stuckPause = ShortestPause;
    found->prefilled = true;
    found->remaining = 0;
    // Short work leaves the memory soon, so that peers do not tell of its end.
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
    // Work that ended before its first token does not tell what the server will be asked for.
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
    std::array<double, LengthBandCount> known{};
    for (const Entry &entry : this->entries) {
        if (!entry.prefilled)
            known[bandIndex(entry.work.tokens)] += entry.remaining;
    }
    for (std::size_t band = 0; band < LengthBandCount; ++band) {
        const double reported =
                this->settings.prefill.seconds(static_cast<double>(report.queuedByBand[band]));
        this->unknownSeconds[band] = std::max(0.0, reported - known[band]);
    }
}

void LoadEstimate::reportTotal(double queuedTokens)
{
    double known = 0;
    for (const Entry &entry : this->entries)
        known += entry.prefilled ? 0 : entry.remaining;
    this->unknownSeconds = {};
    this->unknownSeconds[bandIndex(UnknownPromptTokens)] =
            std::max(0.0, this->settings.prefill.seconds(queuedTokens) - known);
}

double LoadEstimate::waitSeconds(std::uint64_t tokens, std::int64_t priority, TimePoint now)
{
    this->advance(now);
    const bool anyMemory = tokens <= ShortPromptTokens || this->fits(tokens);
    double ahead = 0;
    bool busy = false;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled)
            continue;
        busy = true;
        const bool counts = entry.work.priority <= priority || !anyMemory;
        if (counts || this->settings.countAllWork)
            ahead += entry.remaining;
    }
    const std::size_t ownBand = bandIndex(tokens);
    for (std::size_t band = 0; band < LengthBandCount; ++band) {
        busy = busy || this->unknownSeconds[band] > 0;
        if (band < ownBand || this->settings.countAllWork)
            ahead += this->unknownSeconds[band];
        else if (band == ownBand)
            ahead += this->unknownSeconds[band] / 2;
    }
    if (busy && ahead <= 0)
        ahead = this->chunkSeconds() / 2;
    return ahead * this->slow + this->overdueSeconds(now);
}

WorkBehind LoadEstimate::behind(std::uint64_t tokens, std::int64_t priority, TimePoint now)
{
    this->advance(now);
    WorkBehind behind;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled || entry.work.priority <= priority)
            continue;
        behind.count += 1;
        behind.inverseSeconds += 1 / std::max(LeastSeconds, entry.work.seconds);
    }
    for (std::size_t band = bandIndex(tokens) + 1; band < LengthBandCount; ++band) {
        const double typical = this->settings.prefill.seconds(TypicalTokens[band]);
        const double pieces = std::ceil(this->unknownSeconds[band] / typical);
        behind.count += pieces;
        behind.inverseSeconds += pieces / typical;
    }
    return behind;
}

double LoadEstimate::shorterUtilisation(std::uint64_t tokens, TimePoint now) const
{
    double seconds = 0;
    for (std::size_t band = 0; band < bandIndex(tokens); ++band)
        seconds += this->arrivingSeconds[band];
    return seconds * this->decay(now) * this->slow / RateWindowSeconds;
}

double LoadEstimate::utilisation(TimePoint now) const
{
    double seconds = 0;
    for (const double band : this->arrivingSeconds)
        seconds += band;
    return seconds * this->decay(now) / RateWindowSeconds;
}

bool LoadEstimate::idle() const
{
    const auto waits = [](const Entry &entry) { return !entry.prefilled; };
    const auto unknown = [](double seconds) { return seconds > 0; };
    return std::none_of(this->entries.begin(), this->entries.end(), waits)
           && std::none_of(this->unknownSeconds.begin(), this->unknownSeconds.end(), unknown);
}

bool LoadEstimate::stuck(TimePoint now)
{
    this->advance(now);
    return now < this->stuckUntil || this->overdueSeconds(now) > StuckSeconds;
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
    // A server that was slow gets another chance; one that was fast stays known as such.
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
        return entry.remaining <= 0 && now - entry.expected > LongestStay;
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
    const double ratio = elapsed / (expected + FirstTokenToleranceSeconds);
    if (ratio < LearningThreshold && ratio > 1 / LearningThreshold)
        return;
    // Only work that met an idle server tells that the server is faster than usual; elsewhere the
    // prediction may have been too high, and half of a prompt may have been cached.
    const bool faster = entry.metIdleServer && elapsed < expected * FastThreshold;
    const double least = faster ? FastestFactor : std::min(1.0, this->slow);
    this->slow = std::clamp(this->slow * std::pow(ratio, LearningExponent), least, SlowestFactor);
}

void LoadEstimate::noteLost(const Entry &entry, TimePoint now)
{
    const bool late = !entry.prefilled && entry.remaining <= 0
                      && toSeconds(now - entry.expected) > StuckSeconds;
    if (!late || now < this->stuckUntil)
        return;
    this->stuckUntil = now + this->stuckPause;
    this->stuckPause = std::min(this->stuckPause * 2, LongestPause);
}

double LoadEstimate::chunkSeconds() const
{
    double context = 0;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled)
            continue;
        const double done = 1 - entry.remaining / std::max(LeastSeconds, entry.work.seconds);
        context = done * static_cast<double>(entry.work.tokens)
                  + static_cast<double>(entry.work.context);
        break;
    }
    return this->settings.prefill.seconds(static_cast<double>(this->settings.chunkTokens), context);
}

double LoadEstimate::overdueSeconds(TimePoint now) const
{
    double most = 0;
    for (const Entry &entry : this->entries) {
        if (entry.prefilled || entry.remaining > 0)
            continue;
        const double tolerance =
                OverdueToleranceSeconds
                + OverdueToleranceShare * toSeconds(entry.expected - entry.dispatched);
        const double late = toSeconds(now - std::max(entry.expected, this->progressAt));
        most = std::max(most, late > tolerance ? late : 0);
    }
    return most;
}

bool LoadEstimate::fits(std::uint64_t tokens) const
{
    const bool isLong = tokens > LongPromptTokens;
    auto used = static_cast<double>(tokens);
    for (const Entry &entry : this->entries) {
        const auto held = static_cast<double>(entry.work.tokens);
        const bool otherLong = entry.work.tokens > LongPromptTokens;
        // Long prompts reserve what they will hold; others only see what is held already.
        if (isLong)
            used += otherLong ? held : 0;
        else
            used += otherLong ? held
                                        * (1
                                           - entry.remaining
                                                     / std::max(LeastSeconds, entry.work.seconds))
                              : held;
    }
    const auto memory = static_cast<double>(this->settings.memoryTokens);
    return used <= (isLong ? memory * this->settings.longMemoryShare : memory);
}

double LoadEstimate::decay(TimePoint now) const
{
    return std::exp(-toSeconds(now - this->arrivalsAt) / RateWindowSeconds);
}

} // namespace dotterel
