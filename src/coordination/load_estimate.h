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
    std::uint64_t contextTokens = 0; ///< Prompt tokens that precede these.
    std::int64_t priority = 0;       ///< A lower number runs first.
    double prefillSeconds = 0;       ///< Prefill time on an engine at nominal speed.
};

/// Waiting work that would be delayed by new work of a higher priority.
struct DelayedWork
{
    double count = 0;
    double inversePrefillSeconds = 0; ///< Sum of 1 / prefill seconds over that work.
};

/// Estimates the remaining work of one backend server by simulating its queue from the dispatches
/// of this host and its peers, corrected by load reports. Deterministic: performs no I/O and reads
/// no clock.
class LoadEstimate
{
public:
    explicit LoadEstimate(const PlacementSettings &settings);

    /// Adds \a work that was sent to the server.
    void onDispatched(const DispatchedWork &work, TimePoint now);

    /// Records that the first token of \a key arrived, so that its prefill is done.
    void onFirstToken(const WorkKey &key, TimePoint now);

    /// Removes \a key, which ended or was cancelled.
    void onEnded(const WorkKey &key, TimePoint now);

    /// Corrects the estimate by a load report of the server.
    void onLoadReport(const LoadReport &report, TimePoint now);

    /// Returns the predicted queueing time of new work of \a tokens at \a priority, in seconds.
    double queueWaitSeconds(std::uint64_t tokens, std::int64_t priority, TimePoint now);

    /// Returns the waiting work that would run after new work of \a tokens at \a priority.
    DelayedWork delayedWork(std::uint64_t tokens, std::int64_t priority, TimePoint now);

    /// Returns the ratio of the server's prefill time to the nominal one.
    double slowdownFactor() const { return this->slowdown; }

    /// Returns true once a first token has been observed, so that the ratio is measured.
    bool isMeasured() const { return this->hasMeasurement; }

    /// Sets the ratio of a server that has not been measured to \a typicalSlowdown.
    void setDefaultSlowdown(double typicalSlowdown)
    {
        if (!this->hasMeasurement)
            this->slowdown = typicalSlowdown;
    }

    /// Returns the recent utilisation of the server by prompts of shorter length bands.
    double shorterUtilisation(std::uint64_t tokens, TimePoint now) const;

    /// Returns the recent utilisation of the server by all work, at nominal speed.
    double utilisation(TimePoint now) const;

    /// Returns true if the server makes no progress and should be avoided.
    bool isStalled(TimePoint now);

private:
    struct Entry
    {
        DispatchedWork work;
        double remainingSeconds = 0; ///< Remaining prefill time at nominal speed.
        TimePoint dispatchedAt;
        TimePoint expectedFinish; ///< When the simulation finished the prefill.
        bool prefilled = false;
        bool foundServerIdle = false; ///< No other prefill waited or ran at dispatch.
    };

    void applyTotalReport(double queuedTokens);
    bool isIdle() const;
    void advanceTo(TimePoint now);
    void simulate(double seconds);
    void removeExpired(TimePoint now);
    void updateSlowdown(const Entry &entry, TimePoint now);
    void recordStalledEnd(const Entry &entry, TimePoint now);
    /// Returns the prefill time of the chunk that runs now. An engine does not preempt a chunk, so
    /// new work waits for half of it on average.
    double currentChunkSeconds() const;
    double overdueSeconds(TimePoint now) const;
    bool fitsInMemory(std::uint64_t tokens) const;
    double recentWorkDecay(TimePoint now) const;

    const PlacementSettings &settings;
    std::vector<Entry> entries; ///< In order of priority.
    /// Reported work that no known host dispatched, by length band.
    std::array<double, LengthBandCount> unattributedSeconds{};
    /// Exponentially decaying sum of the work dispatched, by length band.
    std::array<double, LengthBandCount> recentWorkSeconds{};
    TimePoint simulatedUntil;
    TimePoint recentWorkUpdatedAt;
    double slowdown = 1;
    bool hasMeasurement = false;
    TimePoint lastFirstTokenAt; ///< When the last first token arrived.
    TimePoint stalledUntil;
    Duration stallBackoff;
};

} // namespace dotterel
