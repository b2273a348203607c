#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "coordination/placement_settings.h"
#include "core/random_source.h"

#include <map>

namespace dotterel {

/// Power of two choices with sender-side credits: for each server a host limits the prefill that it
/// has in flight there. The limit is increased additively while queueing delay is below a target
/// and decreased multiplicatively above it; requests are refused when no server has credit left.
/// Modelled on the credits of Catena and Breakwater (Cho et al., OSDI 2020). Serves as a baseline
/// in benchmarks.
class CreditPlacement : public Placement
{
public:
    CreditPlacement(const BackendDirectory &directory, RandomSource &random,
                    const PlacementSettings &settings);

    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;

private:
    struct CreditWindow
    {
        double creditSeconds = 4; ///< Seconds of prefill that may be in flight.
        double inFlightSeconds = 0;
        TimePoint decreasedAt;
    };

    struct RunningAttempt
    {
        ServerId server;
        double seconds = 0;
        bool isShort = false;
        TimePoint dispatchedAt;
    };

    void updateCredit(const RunningAttempt &entry, TimePoint now);

    const BackendDirectory &directory;
    RandomSource &random;
    PlacementSettings settings;
    std::map<ServerId, CreditWindow> creditWindows;
    std::map<ServerId, double> reportedQueueSeconds;
    std::map<AttemptId, RunningAttempt> runningAttempts;
};

} // namespace dotterel
