#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "core/random_source.h"

#include <map>

namespace dotterel {

/// How the priority that is passed to engines is chosen.
enum class EnginePriority {
    None,     ///< Equal for all prompts.
    ByLength, ///< Shorter prompts run first.
};

/// Power of two choices: chooses the less loaded of two random servers, and optionally gives
/// shorter prompts a higher priority. The load of a server is its last report plus the prompt
/// tokens that this host has in flight there.
class TwoChoicesPlacement : public Placement
{
public:
    TwoChoicesPlacement(const BackendDirectory &directory, RandomSource &random,
                        EnginePriority enginePriority = EnginePriority::ByLength);

    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;

private:
    struct RunningAttempt
    {
        ServerId server;
        std::uint64_t tokens = 0;
    };

    std::uint64_t loadTokens(const ServerId &server) const;
    void removeAttempt(const AttemptId &attempt);

    const BackendDirectory &directory;
    RandomSource &random;
    EnginePriority enginePriority;
    std::map<AttemptId, RunningAttempt> runningAttempts;
    std::map<ServerId, std::uint64_t> inFlightTokens;
    std::map<ServerId, LoadReport> lastReports;
};

} // namespace dotterel
