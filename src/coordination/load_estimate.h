#pragma once

#include "coordination/placement.h"
#include "coordination/placement_settings.h"
#include "core/metrics.h"

#include <array>
#include <cstdint>
#include <vector>

namespace dotterel {

/// Number of values of LengthBand.
constexpr std::size_t LengthBandCount = 6;

/// Identifies work at a server, unique among the work dispatched by all hosts.
struct WorkKey
{
    /// Hash of the dispatching host's name and incarnation; 0 is this host.
    std::uint64_t owner = 0;
    std::uint64_t sequence = 0;

    bool operator==(const WorkKey &other) const
    {
        return this->owner == other.owner && this->sequence == other.sequence;
    }
};

/// The prefill of one prompt, or of a part of it, that was sent to a server.
struct DispatchedWork
{
    WorkKey key;
    std::uint64_t tokens = 0;
    std::uint64_t context = 0; ///< Prompt tokens that precede these.
    std::int64_t priority = 0; ///< A lower number runs first.
    double seconds = 0;        ///< Prefill time on an engine at nominal speed.
};

/// Waiting work that would be delayed by new work of a higher priority.
struct WorkBehind
{
    double count = 0;
    double inverseSeconds = 0; ///< Sum of 1 / prefill seconds over that work.
};

/// Estimates the remaining work of one backend server by simulating its queue from the dispatches
/// of this host and its peers, corrected by load reports. Deterministic: performs no I/O and reads
/// no clock.
class LoadEstimate
{
public:
    explicit LoadEstimate(const PlacementSettings &settings);

    /// Adds \a work that was sent to the server.
    void add(const DispatchedWork &work, TimePoint now);

    /// Records that the first token of \a key arrived, so that its prefill is done.
    void firstToken(const WorkKey &key, TimePoint now);

    /// Removes \a key, which ended or was cancelled.
    void end(const WorkKey &key, TimePoint now);

    /// Corrects the estimate by a load report of the server.
    void report(const LoadReport &report, TimePoint now);

    /// Returns the predicted queueing time of new work of \a tokens at \a priority, in seconds.
    double waitSeconds(std::uint64_t tokens, std::int64_t priority, TimePoint now);

    /// Returns the waiting work that would run after new work of \a tokens at \a priority.
    WorkBehind behind(std::uint64_t tokens, std::int64_t priority, TimePoint now);

    /// Returns the ratio of the server's prefill time to the nominal one.
    double slowness() const { return this->slow; }

    /// Returns true once a first token has been observed, so that the ratio is measured.
    bool isMeasured() const { return this->measured; }

    /// Sets the ratio of a server that has not been measured to \a typical.
    void assumeSlowness(double typical)
    {
        if (!this->measured)
            this->slow = typical;
    }

    /// Returns the recent utilisation of the server by prompts of shorter length bands.
    double shorterUtilisation(std::uint64_t tokens, TimePoint now) const;

    /// Returns the recent utilisation of the server by all work, at nominal speed.
    double utilisation(TimePoint now) const;

    /// Returns true if the server makes no progress and should be avoided.
    bool stuck(TimePoint now);

private:
    struct Entry
    {
        DispatchedWork work;
        double remaining = 0; ///< Remaining prefill time at nominal speed.
        TimePoint dispatched;
        TimePoint expected; ///< When the simulation finished the prefill.
        bool prefilled = false;
        bool metIdleServer = false; ///< No other prefill waited or ran at dispatch.
    };

    void reportTotal(double queuedTokens);
    bool idle() const;
    void advance(TimePoint now);
    void replay(double seconds);
    void dropExpired(TimePoint now);
    void learn(const Entry &entry, TimePoint now);
    void noteLost(const Entry &entry, TimePoint now);
    /// Returns the prefill time of the chunk that runs now. An engine does not preempt a chunk, so
    /// new work waits for half of it on average.
    double chunkSeconds() const;
    double overdueSeconds(TimePoint now) const;
    bool fits(std::uint64_t tokens) const;
    double decay(TimePoint now) const;

    const PlacementSettings &settings;
    std::vector<Entry> entries; ///< In order of priority.
    /// Reported work that no known host dispatched, by length band.
    std::array<double, LengthBandCount> unknownSeconds{};
    /// Exponentially decaying sum of the work dispatched, by length band.
    std::array<double, LengthBandCount> arrivingSeconds{};
    TimePoint advancedAt;
    TimePoint arrivalsAt;
    double slow = 1;
    bool measured = false;
    TimePoint progressAt; ///< When the last first token arrived.
    TimePoint stuckUntil;
    Duration stuckPause;
};

} // namespace dotterel
