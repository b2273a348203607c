#include "gateway/engine_load.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr double MicrosecondsPerMs = 1'000.0;
constexpr double Million = 1e6;
constexpr double Thousand = 1e3;
/// A predicted event gap above this fraction of the allowed gap counts as a violation, since the
/// duration of passes varies.
constexpr double SafeEventGapFraction = 0.85;
/// Fraction of the running pass that a new prompt waits for: slightly more than the mean.
constexpr double PassWaitFraction = 0.6;
/// Delay of a first event beyond its predicted time that is ignored, since reports from other hosts
/// arrive late.
constexpr Duration OverdueTolerance = std::chrono::milliseconds(150);
/// Time after the expected disconnect of the caller at which a prompt is removed if its end was not
/// reported.
constexpr Duration ExpiryMargin = std::chrono::seconds(8);
/// An answer that is complete within this many passes is not affected by a longer event gap.
constexpr double NearlyFinishedPasses = 1.5;
/// Bound of the wait that is added for work that no host has reported. Callers of short prompts
/// leave after about this time.
constexpr Duration MaxUnknownWork = std::chrono::milliseconds(1'500);
/// How long a refused reservation says that an engine's memory is full. Prompts on engines end
/// within a few seconds.
constexpr Duration MemoryRefusalValidity = std::chrono::seconds(1);
constexpr Duration MinPrefillLeft = std::chrono::milliseconds(1);

Duration fromMs(double milliseconds)
{
    return Duration(static_cast<Duration::rep>(milliseconds * MicrosecondsPerMs));
}

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerMs;
}

} // namespace

Duration prefillTime(const EngineProfile &engine, std::uint64_t tokens, std::size_t prefillEngines)
{
    const auto tokenCount = static_cast<double>(tokens);
    const double millionPairs = tokenCount * tokenCount / 2.0 / Million;
    const double computeMs = tokenCount / engine.prefillTokensPerMs
                             + millionPairs * engine.attentionMsPerMillionPairs;
    // Each prefill chunk takes a step of its own.
    const double chunkSteps =
            tokenCount / static_cast<double>(std::max<std::uint64_t>(1, engine.prefillChunkTokens));
    return fromMs((computeMs + chunkSteps * engine.baseStepMs)
                  / static_cast<double>(std::max<std::size_t>(1, prefillEngines)));
}

void EngineLoad::add(const EngineProfile &engine, const EnginePrompt &prompt, TimePoint now)
{
    const bool known =
            std::any_of(this->entries.begin(), this->entries.end(), [&prompt](const Entry &entry) {
                return entry.prompt.key == prompt.key && entry.prompt.isHelper == prompt.isHelper;
            });
    if (known)
        return;
    this->advance(engine, now);
    Entry entry;
    entry.prompt = prompt;
    entry.prefillLeft = prompt.prefillLeft.value_or(
            prefillTime(engine, prompt.demand.promptTokens, prompt.prefillEngines));
    entry.predictedPrefillEnd = now + entry.prefillLeft;
    entry.expiresAt = prompt.dispatchedAt + prompt.demand.callerTimeLeft + ExpiryMargin;
    entry.decoding = prompt.prefillLeft == Duration::zero() && !prompt.isHelper;
    entry.decodingSince = now;
    const bool hasSlot = prompt.isHelper || this->promptCount() < engine.slots;
    const bool runsFirst = prompt.isShare() && hasSlot && !entry.decoding;
    this->entries.insert(runsFirst ? this->entries.begin() : this->entries.end(), entry);
}

void EngineLoad::onFirstEvent(const PromptKey &key, TimePoint now)
{
    for (Entry &entry : this->entries) {
        if (!(entry.prompt.key == key))
            continue;
        this->unknownWorkUntil = now;
        entry.prefillLeft = Duration::zero();
        if (!entry.decoding)
            entry.decodingSince = now;
        entry.decoding = !entry.prompt.isHelper;
    }
    // A helper without reserved memory is done once the prefill is complete.
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(),
                                       [&key](const Entry &entry) {
                                           return entry.prompt.isHelper && entry.prompt.key == key
                                                  && entry.prompt.memoryTokens == 0;
                                       }),
                        this->entries.end());
}

std::optional<Duration> EngineLoad::remove(const PromptKey &key, TimePoint now)
{
    std::optional<Duration> answerTime;
    for (const Entry &entry : this->entries) {
        if (entry.prompt.key == key && entry.decoding)
            answerTime = now - entry.decodingSince;
    }
    this->entries.erase(
            std::remove_if(this->entries.begin(), this->entries.end(),
                           [&key](const Entry &entry) { return entry.prompt.key == key; }),
            this->entries.end());
    return answerTime;
}

void EngineLoad::removeSilent(const PromptKey &key, TimePoint now)
{
    for (const Entry &entry : this->entries) {
        if (!(entry.prompt.key == key) || entry.prompt.isHelper || entry.decoding)
            continue;
        const Duration wait = std::min(now - entry.prompt.dispatchedAt, MaxUnknownWork);
        this->unknownWorkUntil = std::max(this->unknownWorkUntil, now + wait);
    }
    this->remove(key, now);
}

void EngineLoad::onMemoryRefused(TimePoint now)
{
    this->memoryRefusedUntil = now + MemoryRefusalValidity;
}

void EngineLoad::removeBySender(std::uint32_t senderHash)
{
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(),
                                       [senderHash](const Entry &entry) {
                                           return entry.prompt.key.senderHash == senderHash;
                                       }),
                        this->entries.end());
}

void EngineLoad::advance(const EngineProfile &engine, TimePoint now)
{
    Duration timeBudget = now - this->updatedAt;
    this->updatedAt = now;
    if (timeBudget < Duration::zero())
        timeBudget = Duration::zero();
    std::size_t promptsAhead = 0;
    for (Entry &entry : this->entries) {
        // Prompts over the slots wait until one of those ahead ends.
        const bool hasSlot = entry.prompt.isHelper || promptsAhead < engine.slots;
        promptsAhead += entry.prompt.isHelper ? 0 : 1;
        if (entry.decoding || !hasSlot || entry.prefillLeft <= Duration::zero())
            continue;
        const Duration processed = std::min(timeBudget, entry.prefillLeft);
        entry.prefillLeft -= processed;
        timeBudget -= processed;
        if (entry.prefillLeft <= Duration::zero())
            entry.predictedPrefillEnd = now - timeBudget;
        if (timeBudget <= Duration::zero())
            break;
    }
    this->entries.erase(std::remove_if(this->entries.begin(), this->entries.end(),
                                       [now](const Entry &entry) {
                                           const bool helperDone =
                                                   entry.prompt.isHelper
                                                   && entry.prompt.memoryTokens == 0
                                                   && entry.prefillLeft <= Duration::zero();
                                           return helperDone || entry.expiresAt < now;
                                       }),
                        this->entries.end());
}

double EngineLoad::stepMs(const EngineProfile &engine) const
{
    double result = engine.baseStepMs;
    for (const Entry &entry : this->entries) {
        if (entry.decoding)
            result += engine.stepMsPerSequence
                      + engine.stepMsPerThousandContextTokens
                                * static_cast<double>(entry.prompt.demand.promptTokens) / Thousand;
    }
    return result;
}

bool EngineLoad::anyDecoding() const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [](const Entry &entry) { return entry.decoding; });
}

std::uint64_t EngineLoad::longestQueuedPrompt() const
{
    std::uint64_t longestPrompt = 0;
    for (const Entry &entry : this->entries) {
        if (!entry.decoding && entry.prefillLeft > Duration::zero())
            longestPrompt = std::max(longestPrompt, entry.prompt.demand.promptTokens);
    }
    return longestPrompt;
}

Duration EngineLoad::passTime(const EngineProfile &engine, Duration prefill,
                              std::uint64_t longestPrompt) const
{
    const auto steps = static_cast<double>(engine.stepsPerPass);
    // Each step of a pass takes at most one prefill chunk. The time of a chunk grows with the
    // prompt length, so that the bound uses the longest prompt.
    const auto chunk = static_cast<double>(engine.prefillChunkTokens);
    const double chunkMs = chunk / engine.prefillTokensPerMs
                           + chunk * static_cast<double>(longestPrompt) / Million
                                     * engine.attentionMsPerMillionPairs;
    const double prefillMs = std::min(toMs(prefill), steps * chunkMs);
    return fromMs(steps * this->stepMs(engine) + prefillMs);
}

Duration EngineLoad::overdueTime(TimePoint now) const
{
    Duration maxOverdue = std::max(Duration::zero(), this->unknownWorkUntil - now);
    for (const Entry &entry : this->entries) {
        // The first event of a shared prefill may wait for any of its engines.
        if (entry.decoding || entry.prompt.isShare() || entry.prefillLeft > Duration::zero())
            continue;
        maxOverdue = std::max(maxOverdue, now - entry.predictedPrefillEnd - OverdueTolerance);
    }
    return maxOverdue;
}

bool EngineLoad::nearlyFinished(const EngineProfile &engine, const Entry &entry,
                                TimePoint now) const
{
    if (!entry.decoding)
        return false;
    const double msPerToken = this->stepMs(engine);
    const double remainingMs = static_cast<double>(entry.prompt.demand.outputTokens) * msPerToken
                               - toMs(now - entry.decodingSince);
    return remainingMs
           < NearlyFinishedPasses * msPerToken * static_cast<double>(engine.stepsPerPass);
}

Duration EngineLoad::predictTimeToFirstEvent(const EngineProfile &engine, Duration ownPrefill,
                                             bool prioritized) const
{
    const Duration queuedPrefill = this->queuedPrefillTime();
    Duration delay = ownPrefill + this->passTime(engine, Duration::zero(), 0);
    if (!prioritized)
        delay += queuedPrefill;
    if (this->anyDecoding()) {
        const Duration runningPass =
                this->passTime(engine, queuedPrefill, this->longestQueuedPrompt());
        delay += Duration(static_cast<Duration::rep>(static_cast<double>(runningPass.count())
                                                     * PassWaitFraction));
    }
    return delay + this->overdueTime(this->updatedAt);
}

double EngineLoad::interferenceLoss(const EngineProfile &engine, Duration prefill,
                                    std::uint64_t tokens, bool prioritized,
                                    double lateValueFraction, TimePoint now) const
{
    const Duration queuedPrefill = this->queuedPrefillTime();
    const std::uint64_t longestPrompt = this->longestQueuedPrompt();
    const double newPassMs =
            toMs(this->passTime(engine, queuedPrefill + prefill, std::max(longestPrompt, tokens)));
    const double currentPassMs = toMs(this->passTime(engine, queuedPrefill, longestPrompt));
    double loss = 0;
    Duration delay = Duration::zero();
    for (const Entry &entry : this->entries) {
        const PromptDemand &demand = entry.prompt.demand;
        const double maxGapMs = toMs(demand.maxEventGap) * SafeEventGapFraction;
        const bool exceedsGap =
                newPassMs > maxGapMs && currentPassMs <= maxGapMs && !entry.prompt.isHelper;
        if (exceedsGap && !this->nearlyFinished(engine, entry, now))
            loss += demand.value * (1.0 - lateValueFraction);
        if (entry.decoding)
            continue;
        delay += entry.prefillLeft;
        const bool isDoneShare = entry.prompt.isShare() && entry.prefillLeft <= Duration::zero();
        if (!prioritized || isDoneShare)
            continue;
        PromptDemand remaining = demand;
        const Duration sinceDispatch = now - entry.prompt.dispatchedAt;
        remaining.elapsed += sinceDispatch;
        if (entry.prompt.reservesMemory)
            remaining.callerTimeLeft = std::min(remaining.callerTimeLeft, MaxUnusedMemoryTime);
        remaining.callerTimeLeft -= sinceDispatch;
        loss += latenessLoss(remaining, delay + prefill, lateValueFraction)
                - latenessLoss(remaining, delay, lateValueFraction);
    }
    return loss;
}

std::uint64_t EngineLoad::memoryTokens() const
{
    std::uint64_t total = 0;
    for (const Entry &entry : this->entries)
        total += entry.prompt.memoryTokens;
    return total;
}

std::optional<Duration> EngineLoad::prefillLeft(const PromptKey &key) const
{
    for (const Entry &entry : this->entries) {
        if (!(entry.prompt.key == key) || entry.prompt.isHelper)
            continue;
        // The first event has not arrived yet, so some work remains even if the estimate is over.
        return entry.decoding ? Duration::zero() : std::max(entry.prefillLeft, MinPrefillLeft);
    }
    return std::nullopt;
}

std::size_t EngineLoad::promptCount() const
{
    return static_cast<std::size_t>(
            std::count_if(this->entries.begin(), this->entries.end(),
                          [](const Entry &entry) { return !entry.prompt.isHelper; }));
}

Duration EngineLoad::queuedPrefillTime() const
{
    Duration total = Duration::zero();
    for (const Entry &entry : this->entries) {
        if (!entry.decoding)
            total += entry.prefillLeft;
    }
    return total;
}

} // namespace dotterel
