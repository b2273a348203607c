#include "gateway/engine_load.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr double MicrosecondsPerMs = 1'000.0;
constexpr double Million = 1e6;
constexpr double Thousand = 1e3;
/// A predicted event gap above this fraction of the allowed gap counts as a violation, since the
/// duration of passes varies.
constexpr double SafePauseShare = 0.85;
/// Fraction of the running pass that a new prompt waits for: slightly more than the mean.
constexpr double PassWaitShare = 0.6;
/// Delay beyond the predicted first event that is ignored, since reports from other hosts arrive
/// late.
constexpr Duration OverdueTolerance = std::chrono::milliseconds(150);
/// Time after the caller's deadline at which a prompt is dropped whose end was not reported.
constexpr Duration ExpiryMargin = std::chrono::seconds(8);
/// An answer that is complete within this many passes is not affected by a longer event gap.
constexpr double LastEvents = 1.5;

Duration fromMs(double milliseconds)
{
    return Duration(static_cast<Duration::rep>(milliseconds * MicrosecondsPerMs));
}

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerMs;
}

} // namespace

Duration readingTime(const EngineProfile &engine, std::uint64_t tokens, std::size_t parts)
{
    const auto count = static_cast<double>(tokens);
    const double pairs = count * count / 2.0 / Million;
    const double whole = count / engine.readTokensPerMs + pairs * engine.readMsPerMillionPairs;
    // Each prefill chunk takes a step of its own.
    const double steps =
            count / static_cast<double>(std::max<std::uint64_t>(1, engine.chunkTokens));
    return fromMs((whole + steps * engine.stepMs)
                  / static_cast<double>(std::max<std::size_t>(1, parts)));
}

void EngineLoad::add(const EngineProfile &engine, const EnginePrompt &prompt, TimePoint now)
{
    this->advance(engine, now);
    Entry entry;
    entry.prompt = prompt;
    entry.readingLeft = readingTime(engine, prompt.demand.promptTokens, prompt.parts);
    entry.readUntil = now + entry.readingLeft;
    entry.expires = now + prompt.demand.patience + ExpiryMargin;
    if (!prompt.isHelper) {
        this->entries.push_back(entry);
        return;
    }
    // Engines run the newest share of a shared prefill first, even ahead of earlier shares.
    this->entries.insert(this->entries.begin(), entry);
}

void EngineLoad::onFirstEvent(const PromptKey &key, TimePoint now)
{
    for (Entry &entry : this->entries) {
        if (!(entry.prompt.key == key))
            continue;
        entry.readingLeft = Duration::zero();
        if (!entry.writes)
            entry.writingSince = now;
        entry.writes = !entry.prompt.isHelper;
    }
    // A helper without reserved memory is done once the prefill is complete.
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(),
                                       [&key](const Entry &entry) {
                                           return entry.prompt.isHelper && entry.prompt.key == key
                                                  && entry.prompt.memoryTokens == 0;
                                       }),
                        this->entries.end());
}

void EngineLoad::remove(const PromptKey &key, TimePoint /*now*/)
{
    this->entries.erase(
            std::remove_if(this->entries.begin(), this->entries.end(),
                           [&key](const Entry &entry) { return entry.prompt.key == key; }),
            this->entries.end());
}

void EngineLoad::removeSender(std::uint32_t sender)
{
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(),
                                       [sender](const Entry &entry) {
                                           return entry.prompt.key.sender == sender;
                                       }),
                        this->entries.end());
}

void EngineLoad::advance(const EngineProfile &engine, TimePoint now)
{
    Duration spent = now - this->current;
    this->current = now;
    if (spent < Duration::zero())
        spent = Duration::zero();
    for (Entry &entry : this->entries) {
        if (entry.writes || entry.readingLeft <= Duration::zero())
            continue;
        const Duration read = std::min(spent, entry.readingLeft);
        entry.readingLeft -= read;
        spent -= read;
        if (entry.readingLeft <= Duration::zero())
            entry.readUntil = now - spent;
        if (spent <= Duration::zero())
            break;
    }
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(),
                                       [now](const Entry &entry) {
                                           const bool partRead =
                                                   entry.prompt.isHelper
                                                   && entry.prompt.memoryTokens == 0
                                                   && entry.readingLeft <= Duration::zero();
                                           return partRead || entry.expires < now;
                                       }),
                        this->entries.end());
    static_cast<void>(engine);
}

double EngineLoad::stepMs(const EngineProfile &engine) const
{
    double result = engine.stepMs;
    for (const Entry &entry : this->entries) {
        if (entry.writes)
            result += engine.stepMsPerPrompt
                      + engine.stepMsPerThousandTokens
                                * static_cast<double>(entry.prompt.demand.promptTokens) / Thousand;
    }
    return result;
}

bool EngineLoad::anyWrites() const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [](const Entry &entry) { return entry.writes; });
}

std::uint64_t EngineLoad::longestUnread() const
{
    std::uint64_t longest = 0;
    for (const Entry &entry : this->entries) {
        if (!entry.writes && entry.readingLeft > Duration::zero())
            longest = std::max(longest, entry.prompt.demand.promptTokens);
    }
    return longest;
}

Duration EngineLoad::passTime(const EngineProfile &engine, Duration reading,
                              std::uint64_t longest) const
{
    const auto steps = static_cast<double>(engine.stepsPerPass);
    // Each step of a pass takes at most one prefill chunk. The time of a chunk grows with the
    // prompt length, so that the bound uses the longest prompt.
    const auto chunk = static_cast<double>(engine.chunkTokens);
    const double chunkMs =
            chunk / engine.readTokensPerMs
            + chunk * static_cast<double>(longest) / Million * engine.readMsPerMillionPairs;
    const double readMs = std::min(toMs(reading), steps * chunkMs);
    return fromMs(steps * this->stepMs(engine) + readMs);
}

Duration EngineLoad::overdue(TimePoint now) const
{
    Duration worst = Duration::zero();
    for (const Entry &entry : this->entries) {
        if (entry.writes || entry.prompt.isHelper || entry.readingLeft > Duration::zero())
            continue;
        worst = std::max(worst, now - entry.readUntil - OverdueTolerance);
    }
    return worst;
}

bool EngineLoad::nearlyWritten(const EngineProfile &engine, const Entry &entry, TimePoint now) const
{
    if (!entry.writes)
        return false;
    const double perToken = this->stepMs(engine);
    const double left = static_cast<double>(entry.prompt.demand.outputTokens) * perToken
                        - toMs(now - entry.writingSince);
    return left < LastEvents * perToken * static_cast<double>(engine.stepsPerPass);
}

Duration EngineLoad::untilFirstEvent(const EngineProfile &engine, Duration ownReading,
                                     bool first) const
{
    const Duration ahead = first ? Duration::zero() : this->readingAhead();
    Duration until = ahead + ownReading + this->passTime(engine, Duration::zero(), 0);
    if (this->anyWrites()) {
        const Duration running = this->passTime(engine, ahead, this->longestUnread());
        until += Duration(
                static_cast<Duration::rep>(static_cast<double>(running.count()) * PassWaitShare));
    }
    return until + this->overdue(this->current);
}

double EngineLoad::interference(const EngineProfile &engine, Duration reading, std::uint64_t tokens,
                                bool first, double lateShare, TimePoint now) const
{
    const Duration ahead = this->readingAhead();
    const std::uint64_t longest = this->longestUnread();
    const double pass = toMs(this->passTime(engine, ahead + reading, std::max(longest, tokens)));
    const double before = toMs(this->passTime(engine, ahead, longest));
    double loss = 0;
    Duration until = Duration::zero();
    for (const Entry &entry : this->entries) {
        const PromptDemand &demand = entry.prompt.demand;
        const double limit = toMs(demand.pauseGoal) * SafePauseShare;
        const bool breaks = pass > limit && before <= limit && !entry.prompt.isHelper;
        if (breaks && !this->nearlyWritten(engine, entry, now))
            loss += demand.value * (1.0 - lateShare);
        if (entry.writes)
            continue;
        until += entry.readingLeft;
        if (!first)
            continue;
        PromptDemand left = demand;
        const Duration age = now - entry.prompt.dispatched;
        left.waited += age;
        left.patience -= age;
        loss += latenessLoss(left, until + reading, lateShare)
                - latenessLoss(left, until, lateShare);
    }
    return loss;
}

std::uint64_t EngineLoad::memoryTokens() const
{
    std::uint64_t sum = 0;
    for (const Entry &entry : this->entries)
        sum += entry.prompt.memoryTokens;
    return sum;
}

std::size_t EngineLoad::prompts() const
{
    return static_cast<std::size_t>(
            std::count_if(this->entries.begin(), this->entries.end(),
                          [](const Entry &entry) { return !entry.prompt.isHelper; }));
}

Duration EngineLoad::readingAhead() const
{
    Duration sum = Duration::zero();
    for (const Entry &entry : this->entries) {
        if (!entry.writes)
            sum += entry.readingLeft;
    }
    return sum;
}

} // namespace dotterel
