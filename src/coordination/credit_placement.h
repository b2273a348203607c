#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "coordination/placement_settings.h"
#include "core/random_source.h"

#include <map>

namespace dotterel {

/// Two choices bounded by credits: a host keeps for each server a window of prefill that it may
/// have there, raised additively while queueing delay is below a target and cut multiplicatively
/// above it, and refuses what no server has credit for. After the credits of Catena and Breakwater
/// (Cho et al., OSDI 2020), held by the sender. A baseline for measurements.
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
    struct Window
    {
        double credit = 4; ///< Seconds of prefill that may be in flight.
        double inFlight = 0;
        TimePoint cutAt;
    };

    struct Running
    {
        ServerId server;
        double seconds = 0;
        bool isShort = false;
        TimePoint dispatched;
    };

    void adapt(const Running &entry, TimePoint now);

    const BackendDirectory &directory;
    RandomSource &random;
    PlacementSettings settings;
    std::map<ServerId, Window> windows;
    std::map<ServerId, double> reportedSeconds;
    std::map<AttemptId, Running> running;
};

} // namespace dotterel
