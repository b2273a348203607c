#pragma once

#include "coordination/membership.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dotterel {

/// What a fleet has sent since it began.
struct FleetTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Payload and WebSocket frame; without TCP and IP headers.
    std::uint64_t listReads = 0;
};

/// Size and pace of a fleet to be measured.
struct FleetOptions
{
    std::size_t hosts = 9;
    std::size_t failureDomains = 3;
    Duration tick = std::chrono::milliseconds(250);
    Duration latency = std::chrono::milliseconds(1); ///< One way; virtual time only.
    std::uint64_t seed = 1;
};

/// A fleet of memberships that a measurement drives, in virtual or in real time. Host
/// `options.hosts` is the spare one that joins late.
class BenchFleet
{
public:
    virtual ~BenchFleet() = default;

    virtual void start(std::size_t host) = 0;
    virtual void kill(std::size_t host) = 0;
    virtual void leave(std::size_t host) = 0;

    /// Puts configuration \a version in force on \a host alone; the others get it from peers.
    virtual void announce(std::size_t host, std::uint64_t version) = 0;

    virtual bool running(std::size_t host) const = 0;
    virtual const Membership &membership(std::size_t host) const = 0;
    virtual std::uint64_t configurationVersion(std::size_t host) const = 0;
    virtual FleetTraffic traffic() const = 0;
    virtual TimePoint now() const = 0;

    /// Lets \a time pass.
    virtual void advance(Duration time) = 0;
};

/// Time until the hosts of a fleet knew of something, in seconds.
struct SpreadTimes
{
    double median = 0;
    double maximum = 0;
    std::size_t missed = 0; ///< Hosts that did not know in time.
};

/// What measureFleet() found.
struct FleetFigures
{
    std::size_t hosts = 0;
    SpreadTimes allJoined;     ///< From the start of all hosts at once.
    double bytesPerSecond = 0; ///< Sent by a host while nothing changes.
    double messagesPerSecond = 0;
    double listReadsPerSecond = 0;        ///< Of all hosts together.
    double churnBytesPerSecond = 0;       ///< Sent by a host in the 5 s after the death of another.
    double cpuMicrosecondsPerMessage = 0; ///< Encoding, decoding, deciding; processor time.
    SpreadTimes join;
    SpreadTimes configuration;
    SpreadTimes leave;
    SpreadTimes death;
};

/// Runs a fleet through start, rest, join, new configuration, leave and death.
FleetFigures measureFleet(BenchFleet &fleet, const FleetOptions &options);

/// Returns \a figures as one JSON object.
std::string fleetFiguresToJson(const FleetFigures &figures);

/// Returns the name of the failure domain of host \a index.
std::string benchDomainName(std::size_t index, const FleetOptions &options);

} // namespace dotterel
