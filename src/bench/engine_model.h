#pragma once

#include "bench/bench_settings.h"
#include "bench/event_queue.h"
#include "coordination/placement.h"

#include <functional>
#include <list>
#include <set>
#include <unordered_map>

namespace dotterel::bench {

/// Work for an EngineModel.
struct EngineWork
{
    std::uint64_t id = 0;
    std::int64_t priority = 0; ///< A lower number runs first; equals in the order of arrival.
    std::uint64_t tokens = 0;  ///< To prefill.
    std::uint64_t context = 0; ///< Tokens of the prompt that other engines hold before these.
    std::uint64_t answerTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
};

/// How an engine behaves.
enum class EngineState {
    Working,
    Frozen, ///< Accepts work and does none.
    Dead,
};

/// A model engine in virtual time: prefill in chunks that are not preempted, between which the
/// highest priority goes on; bounded memory that work holds until it is released, all of it from
/// the start, or chunk by chunk for long prompts; a bounded cache of prompt prefixes. Decoding is
/// left to the caller: streams share steps of a fixed time.
class EngineModel
{
public:
    using PrefillDone = std::function<void(std::uint64_t id)>;

    EngineModel(EventQueue &queue, const EngineSettings &settings, std::uint64_t blockTokens,
                PrefillDone prefillDone);

    /// Queues \a work.
    void submit(const EngineWork &work);

    /// Drops \a id or gives its memory back after its answer.
    void release(std::uint64_t id);

    /// Changes how the engine behaves; the dead lose everything.
    void setState(EngineState newState);
    EngineState state() const { return this->currentState; }

    /// Makes everything take \a factor times as long.
    void setSlowness(double factor) { this->slowness = factor; }

    /// Returns what the engine reports of itself now.
    LoadReport report() const;

    /// Returns the most tokens that memory ever held.
    std::uint64_t memoryPeak() const { return this->peak; }

    /// Returns the tokens that were prefilled.
    std::uint64_t processedTokens() const { return this->processed; }

private:
    struct Item
    {
        EngineWork work;
        std::uint64_t sequence = 0;
        std::uint64_t done = 0;
        std::uint64_t memory = 0; ///< Held tokens.
        bool started = false;
        bool prefilled = false;
    };
    using Order = std::set<std::pair<std::pair<std::int64_t, std::uint64_t>, std::uint64_t>>;

    void next();
    void finishChunk(std::uint64_t id, std::uint64_t tokens);
    Item *pick();
    bool start(Item &item);
    bool makeRoom(Item &item);
    std::uint64_t chunkOf(const Item &item) const;
    std::uint64_t cachedTokens(const EngineWork &work) const;
    void cache(const EngineWork &work);

    EventQueue &queue;
    EngineSettings settings;
    std::uint64_t blockTokens;
    PrefillDone prefillDone;
    EngineState currentState = EngineState::Working;
    double slowness = 1;
    bool busy = false;
    std::uint64_t life = 0; ///< Chunks of an earlier life have no effect.
    std::uint64_t nextSequence = 0;
    std::unordered_map<std::uint64_t, Item> items;
    Order waiting; ///< Not prefilled yet.
    std::uint64_t memory = 0;
    std::uint64_t longReserved = 0; ///< What started long prompts will hold at their end.
    std::uint64_t peak = 0;
    std::uint64_t processed = 0;
    std::list<std::uint64_t> cacheUses; ///< Block hashes, the least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached;
};

} // namespace dotterel::bench
