#pragma once

#include "coordination/placement.h"
#include "coordination/placement_settings.h"
#include "core/metrics.h"

#include <array>
#include <cstdint>
#include <vector>

namespace dotterel {

/// Number of length bands.
constexpr std::size_t LengthBandCount = 6;

/// Names a piece of work at a server among those of all hosts.
struct WorkKey
{
    std::uint64_t owner = 0; ///< Hash of the host's life; 0 is this host.
    std::uint64_t sequence = 0;

    bool operator==(const WorkKey &other) const
    {
        return this->owner == other.owner && this->sequence == other.sequence;
    }
};

/// A piece of work that was sent to a server.
struct DispatchedWork
{
    WorkKey key;
    std::uint64_t tokens = 0;
    std::uint64_t context = 0; ///< Tokens of the prompt that come before these.
    std::int64_t priority = 0; ///< A lower number runs first.
    double seconds = 0;        ///< Of prefill on an engine at its usual speed.
};

/// Work that new work of a higher priority delays.
struct WorkBehind
{
    double count = 0;
    double inverseSeconds = 0; ///< Sum of 1 / seconds of prefill of each piece.
};

/// What one backend server still has to do, replayed from dispatches that this host and its peers
/// made, and corrected by load reports. Pure.
class LoadEstimate
{
public:
    explicit LoadEstimate(const PlacementSettings &settings);

    /// \a work was sent to the server.
    void add(const DispatchedWork &work, TimePoint now);

    /// The first token of \a key was seen.
    void firstToken(const WorkKey &key, TimePoint now);

    /// \a key left the server.
    void end(const WorkKey &key, TimePoint now);

    /// The server reported its load.
    void report(const LoadReport &report, TimePoint now);

    /// Returns the seconds that new work of \a tokens at \a priority waits before its prefill.
    double waitSeconds(std::uint64_t tokens, std::int64_t priority, TimePoint now);

    /// Returns the work that waits and would run after new work of \a tokens at \a priority.
    WorkBehind behind(std::uint64_t tokens, std::int64_t priority, TimePoint now);

    /// Returns how many times longer than usual the server takes.
    double slowness() const { return this->slow; }

    /// Returns true once a first token has told how fast the server is.
    bool isMeasured() const { return this->measured; }

    /// Takes \a typical for the slowness of a server that has not been measured.
    void assumeSlowness(double typical)
    {
        if (!this->measured)
            this->slow = typical;
    }

    /// Returns the fraction of time that recent work of shorter prompts takes up.
    double shorterUtilisation(std::uint64_t tokens, TimePoint now) const;

    /// Returns the fraction of time that all recent work takes up.
    double utilisation(TimePoint now) const;

    /// Returns true if work is stuck so long that the server should be avoided.
    bool stuck(TimePoint now);

private:
    struct Entry
    {
        DispatchedWork work;
        double remaining = 0; ///< Seconds of prefill left at the usual speed.
        TimePoint dispatched;
        TimePoint expected; ///< When the replay finished the prefill.
        bool prefilled = false;
        bool metIdleServer = false; ///< Nothing else waited or ran when it was sent.
    };

    void reportTotal(double queuedTokens);
    bool idle() const;
    void advance(TimePoint now);
    void replay(double seconds);
    void dropExpired(TimePoint now);
    void learn(const Entry &entry, TimePoint now);
    void noteLost(const Entry &entry, TimePoint now);
    /// Seconds of the chunk that runs now, which is not preempted; half of it is left on average.
    double chunkSeconds() const;
    double overdueSeconds(TimePoint now) const;
    bool fits(std::uint64_t tokens) const;
    double decay(TimePoint now) const;

    const PlacementSettings &settings;
    std::vector<Entry> entries;                            ///< By priority.
    std::array<double, LengthBandCount> unknownSeconds{};  ///< Reported, but by nobody dispatched.
    std::array<double, LengthBandCount> arrivingSeconds{}; ///< Decaying sum of work sent here.
    TimePoint advancedAt;
    TimePoint arrivalsAt;
    double slow = 1;
    bool measured = false;
    TimePoint progressAt; ///< Of the last first token.
    TimePoint stuckUntil;
    Duration stuckPause;
};

} // namespace dotterel
