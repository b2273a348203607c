#include "bench/fleet_bench.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr Duration Step = std::chrono::milliseconds(10);
constexpr Duration SpreadLimit = std::chrono::seconds(20);
constexpr Duration SettleTime = std::chrono::seconds(5);
constexpr Duration RestTime = std::chrono::seconds(10);
constexpr Duration ChurnTime = std::chrono::seconds(5);

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

using Known = std::function<bool(std::size_t host)>;

/// Lets time pass until \a known holds on every running host.
SpreadTimes spread(BenchFleet &fleet, std::size_t hosts, const Known &known)
{
    const TimePoint begin = fleet.now();
    std::vector<bool> done(hosts, false);
    std::vector<double> times;
    SpreadTimes result;
    do {
        fleet.advance(Step);
        result.missed = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            if (done[host] || !fleet.running(host))
                continue;
            done[host] = known(host);
            if (done[host])
                times.push_back(toSeconds(fleet.now() - begin));
            else
                ++result.missed;
        }
    } while (result.missed > 0 && fleet.now() - begin < SpreadLimit);
    std::sort(times.begin(), times.end());
    if (!times.empty()) {
        result.median = times[times.size() / 2];
        result.maximum = times.back();
    }
    return result;
}

bool knows(const Membership &membership, const HostId &host)
{
    const std::vector<MemberRecord> live = membership.liveMembers();
    return std::any_of(live.begin(), live.end(), [&host](const MemberRecord &record) {
        return record.identity.host == host;
    });
}

nlohmann::json toJson(const SpreadTimes &times)
{
    return {{"p50_s", times.median}, {"max_s", times.maximum}, {"missed", times.missed}};
}

void measureRest(BenchFleet &fleet, const FleetOptions &options, FleetFigures &figures)
{
    const FleetTraffic before = fleet.traffic();
    const double processorBefore = processorSeconds();
    fleet.advance(RestTime);
    const FleetTraffic after = fleet.traffic();
    const double seconds = toSeconds(RestTime);
    const double hosts = static_cast<double>(options.hosts);
    const double messages = static_cast<double>(after.messages - before.messages);
    figures.messagesPerSecond = messages / seconds / hosts;
    figures.bytesPerSecond = static_cast<double>(after.bytes - before.bytes) / seconds / hosts;
    figures.listReadsPerSecond = static_cast<double>(after.listReads - before.listReads) / seconds;
    figures.cpuMicrosecondsPerMessage =
            messages > 0 ? (processorSeconds() - processorBefore) * 1e6 / messages : 0;
}

} // namespace

FleetFigures measureFleet(BenchFleet &fleet, const FleetOptions &options)
{
    const std::size_t spare = options.hosts;
    const std::size_t all = options.hosts + 1;
    FleetFigures figures;
    figures.hosts = options.hosts;
    for (std::size_t host = 0; host < options.hosts; ++host)
        fleet.start(host);
    figures.allJoined = spread(fleet, all, [&](std::size_t host) {
        return fleet.membership(host).liveMembers().size() == options.hosts;
    });
    fleet.advance(SettleTime);
    measureRest(fleet, options, figures);

    fleet.start(spare);
    const HostId spareName = fleet.membership(spare).ownRecord().identity.host;
    figures.join = spread(fleet, options.hosts, [&](std::size_t host) {
        return knows(fleet.membership(host), spareName);
    });
    fleet.advance(SettleTime);
    fleet.announce(0, 1);
    figures.configuration = spread(
            fleet, all, [&](std::size_t host) { return fleet.configurationVersion(host) == 1; });
    fleet.advance(SettleTime);
    fleet.leave(spare);
    figures.leave = spread(fleet, options.hosts, [&](std::size_t host) {
        return !knows(fleet.membership(host), spareName);
    });
    fleet.advance(SettleTime);

    const std::size_t victim = options.hosts / 2;
    const HostId victimName = fleet.membership(victim).ownRecord().identity.host;
    const FleetTraffic before = fleet.traffic();
    const TimePoint killed = fleet.now();
    fleet.kill(victim);
    figures.death = spread(fleet, options.hosts, [&](std::size_t host) {
        return !knows(fleet.membership(host), victimName);
    });
    fleet.advance(std::max(Step, ChurnTime - (fleet.now() - killed)));
    figures.churnBytesPerSecond = static_cast<double>(fleet.traffic().bytes - before.bytes)
                                  / toSeconds(fleet.now() - killed)
                                  / static_cast<double>(options.hosts);
    return figures;
}

std::string fleetFiguresToJson(const FleetFigures &figures)
{
    const nlohmann::ordered_json json = {
            {"hosts", figures.hosts},
            {"all_joined", toJson(figures.allJoined)},
            {"bytes_per_s_per_host", figures.bytesPerSecond},
            {"messages_per_s_per_host", figures.messagesPerSecond},
            {"list_reads_per_s", figures.listReadsPerSecond},
            {"churn_bytes_per_s_per_host", figures.churnBytesPerSecond},
            {"cpu_us_per_message", figures.cpuMicrosecondsPerMessage},
            {"join", toJson(figures.join)},
            {"configuration", toJson(figures.configuration)},
            {"leave", toJson(figures.leave)},
            {"death", toJson(figures.death)}};
    return json.dump();
}

std::string benchDomainName(std::size_t index, const FleetOptions &options)
{
    return std::string("domain-") + static_cast<char>('a' + index % options.failureDomains);
}

} // namespace dotterel
