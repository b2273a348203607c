#pragma once

#include "gateway/gateway_configuration.h"
#include "gateway/prompt_demand.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dotterel {

/// How long engines set memory aside for a prompt that does not begin; then its host gives it up.
/// Other prompts wait for that memory, and the engine that runs the prompt is too busy to use it.
inline constexpr Duration MaxUnusedMemoryTime = std::chrono::seconds(8);

/// Identifies a prompt across all hosts.
struct PromptKey
{
    std::uint32_t senderHash = 0; ///< Hash of the sending host's id and incarnation.
    std::uint64_t sequence = 0;   ///< Unique for one sender.

    bool operator==(const PromptKey &other) const
    {
        return this->senderHash == other.senderHash && this->sequence == other.sequence;
    }
};

/// A prompt that was dispatched to an engine, or a share of the prefill of such a prompt.
struct EnginePrompt
{
    PromptKey key;
    PromptDemand demand;            ///< At the time of dispatch.
    std::size_t prefillEngines = 1; ///< Engines that share the prefill evenly.
    bool isHelper = false;          ///< This engine only does a share of the prefill.
    bool isReported = false;        ///< Dispatched by another host a moment ago.
    std::uint64_t memoryTokens = 0; ///< KV cache held on this engine until the prompt ends.
    bool reservesMemory = false;    ///< The prompt is given up after MaxUnusedMemoryTime.
    TimePoint dispatchedAt;
    /// Prefill that remains if the prompt was dispatched earlier; zero if it is being decoded.
    std::optional<Duration> prefillLeft;

    /// Returns true if this engine does only a part of the prefill. Engines run such a part ahead
    /// of the prefill of whole prompts, the newest one first.
    bool isShare() const { return this->isHelper || this->prefillEngines > 1; }
};

/// Returns the time that a prefill of \a tokens takes on \a prefillEngines otherwise idle engines.
Duration prefillTime(const EngineProfile &engine, std::uint64_t tokens, std::size_t prefillEngines);

/// Estimated load of one engine, derived from the dispatches that hosts report to each other. An
/// engine does chunked prefill for one prompt at a time and decodes the prompts whose prefill is
/// complete in the same steps. While any prompt is decoded, events are sent only at the end of a
/// pass, which consists of many steps. Shares of prefills run ahead of everything else, so that
/// long prompts that keep coming may starve earlier ones. The estimate is corrected by each
/// reported first event and end of a prompt. Performs no I/O.
class EngineLoad
{
public:
    /// Adds a prompt that was dispatched to the engine; ignores one that is known already.
    void add(const EngineProfile &engine, const EnginePrompt &prompt, TimePoint now);

    /// Records that the first event of a prompt arrived, so that its prefill is complete.
    void onFirstEvent(const PromptKey &key, TimePoint now);

    /// Removes a prompt that ended; returns the time since its first event, if it got one.
    std::optional<Duration> remove(const PromptKey &key, TimePoint now);

    /// Removes a prompt whose host gave it up because it got no event. The engine has more work
    /// than this estimate knows of, so a wait as long as that of the prompt is added to
    /// predictions, until the first event of another prompt shows that the work is done.
    void removeSilent(const PromptKey &key, TimePoint now);

    /// Records that the engine refused to reserve memory, which this estimate took to be free.
    void onMemoryRefused(TimePoint now);

    /// Returns true if the engine refused memory a short time ago.
    bool isMemoryRefused(TimePoint now) const { return now < this->memoryRefusedUntil; }

    /// Removes all prompts dispatched by the host \a senderHash.
    void removeBySender(std::uint32_t senderHash);

    /// Removes all prompts after a restart of the engine.
    void clear() { this->entries.clear(); }

    /// Advances the estimate to \a now. Removes prompts whose callers must have disconnected.
    void advance(const EngineProfile &engine, TimePoint now);

    /// Returns the predicted time to the first event of a further prompt whose prefill takes
    /// \a ownPrefill. A share of a prefill is \a prioritized: it runs ahead of all queued prompts.
    Duration predictTimeToFirstEvent(const EngineProfile &engine, Duration ownPrefill,
                                     bool prioritized) const;

    /// Returns the value that the prompts on this engine lose if a prefill of \a tokens that takes
    /// \a prefill is added, ahead of all queued prompts if \a prioritized is true.
    double interferenceLoss(const EngineProfile &engine, Duration prefill, std::uint64_t tokens,
                            bool prioritized, double lateValueFraction, TimePoint now) const;

    /// Returns the KV cache that the prompts on this engine hold or will hold, in tokens.
    std::uint64_t memoryTokens() const;

    /// Returns the number of prompts on this engine, without shares of other engines' prompts.
    std::size_t promptCount() const;

    /// Returns the prefill that remains of the prompt \a key: zero if it is being decoded, nullopt
    /// if it is not on this engine.
    std::optional<Duration> prefillLeft(const PromptKey &key) const;

    /// Returns the time that all outstanding prefill on this engine takes.
    Duration queuedPrefillTime() const;

private:
    struct Entry
    {
        EnginePrompt prompt;
        Duration prefillLeft = Duration::zero();
        bool decoding = false;
        TimePoint predictedPrefillEnd;
        TimePoint decodingSince;
        TimePoint expiresAt;
    };

    double stepMs(const EngineProfile &engine) const;
    bool anyDecoding() const;
    Duration passTime(const EngineProfile &engine, Duration prefill,
                      std::uint64_t longestPrompt) const;
    std::uint64_t longestQueuedPrompt() const;
    Duration overdueTime(TimePoint now) const;
    bool nearlyFinished(const EngineProfile &engine, const Entry &entry, TimePoint now) const;

    std::vector<Entry> entries; ///< In prefill order.
    TimePoint updatedAt;
    TimePoint memoryRefusedUntil;
    TimePoint unknownWorkUntil; ///< Estimated end of work that no host has reported.
};

} // namespace dotterel
