#pragma once

#include "gateway/gateway_configuration.h"
#include "gateway/prompt_demand.h"

#include <cstdint>
#include <vector>

namespace dotterel {

/// Names a prompt among those of all hosts.
struct PromptKey
{
    std::uint32_t sender = 0;   ///< Hash of the host's name and incarnation.
    std::uint64_t sequence = 0; ///< Of the sender.

    bool operator==(const PromptKey &other) const
    {
        return this->sender == other.sender && this->sequence == other.sequence;
    }
};

/// A prompt, or a part of one, on an engine.
struct EnginePrompt
{
    PromptKey key;
    PromptDemand demand;            ///< As of its dispatch.
    std::size_t parts = 1;          ///< Engines that read it, each an even part.
    bool isHelper = false;          ///< Only reads a part here.
    std::uint64_t memoryTokens = 0; ///< Context that it holds here until it ends.
    TimePoint dispatched;
};

/// Returns the time in which \a parts engines read a prompt of \a tokens, with no other work.
Duration readingTime(const EngineProfile &engine, std::uint64_t tokens, std::size_t parts);

/// What one engine has to do, from the dispatches that hosts tell each other. An engine reads
/// prompts one after another in chunks and writes for all others meanwhile; while any writes,
/// events leave only at the end of a pass of many steps. The state is corrected by each first event
/// and end. Pure.
class EngineLoad
{
public:
    /// A prompt was sent to the engine.
    void add(const EngineProfile &engine, const EnginePrompt &prompt, TimePoint now);

    /// Its first event came, so that reading it is over.
    void onFirstEvent(const PromptKey &key, TimePoint now);

    /// It ended.
    void remove(const PromptKey &key, TimePoint now);

    /// Forgets all prompts of \a sender.
    void removeSender(std::uint32_t sender);

    /// Forgets everything: the engine started again.
    void clear() { this->entries.clear(); }

    /// Brings the state to \a now; drops prompts whose callers must have left.
    void advance(const EngineProfile &engine, TimePoint now);

    /// Time until the engine would have read a further prompt that needs \a ownReading, and have
    /// written its first event. A part of a shared prompt goes \a first.
    Duration untilFirstEvent(const EngineProfile &engine, Duration ownReading, bool first) const;

    /// Value that the prompts here lose if \a reading of a prompt of \a tokens is added; \a first
    /// before all waiting ones.
    double interference(const EngineProfile &engine, Duration reading, std::uint64_t tokens,
                        bool first, double lateShare, TimePoint now) const;

    /// Tokens of context that the prompts here hold or will hold.
    std::uint64_t memoryTokens() const;

    /// Prompts here, those that only read a part not counted.
    std::size_t prompts() const;

    /// Time that reading what is here will take.
    Duration readingAhead() const;

private:
    struct Entry
    {
        EnginePrompt prompt;
        Duration readingLeft = Duration::zero();
        bool writes = false;
        TimePoint readUntil; ///< When reading ended by this model.
        TimePoint writingSince;
        TimePoint expires;
    };

    double stepMs(const EngineProfile &engine) const;
    bool anyWrites() const;
    Duration passTime(const EngineProfile &engine, Duration reading, std::uint64_t longest) const;
    std::uint64_t longestUnread() const;
    Duration overdue(TimePoint now) const;
    bool nearlyWritten(const EngineProfile &engine, const Entry &entry, TimePoint now) const;

    std::vector<Entry> entries; ///< In the order in which they are read.
    TimePoint current;
};

} // namespace dotterel
