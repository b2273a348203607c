#pragma once

#include "bench/fleet_bench.h"
#include "core/random_source.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace dotterel {

/// Memberships in virtual time, joined by links with a one-way latency. Messages are encoded and
/// decoded as on a real link. The same seed gives the same run.
class FleetSimulation : public BenchFleet
{
public:
    explicit FleetSimulation(const FleetOptions &options);
    ~FleetSimulation() override;

    void start(std::size_t host) override;
    void kill(std::size_t host) override;
    void leave(std::size_t host) override;
    void announce(std::size_t host, std::uint64_t version) override;
    bool running(std::size_t host) const override;
    const Membership &membership(std::size_t host) const override;
    std::uint64_t configurationVersion(std::size_t host) const override;
    FleetTraffic traffic() const override { return this->sent; }
    TimePoint now() const override { return this->clock; }
    void advance(Duration time) override;

    /// Stops \a host without closing its links, until wake().
    void freeze(std::size_t host);
    void wake(std::size_t host);

    /// Cuts the failure domains in \a domains off from all others, or heals every cut if empty.
    void cut(const std::set<std::string> &domains);

    /// Has \a host publish \a notice.
    void publish(std::size_t host, const ServerDrainNotice &notice);

    /// Returns the notices that reached \a host.
    const std::vector<ServerDrainNotice> &noticesOf(std::size_t host) const;

    /// Returns the hosts that \a host has links with.
    std::vector<std::size_t> linksOf(std::size_t host) const;

private:
    struct Node;
    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->time != other.time ? this->time > other.time : this->order > other.order;
        }
    };

    void at(Duration delay, std::function<void()> action);
    void scheduleTick(std::size_t host, Incarnation incarnation, Duration delay);
    void tick(std::size_t host);
    void maintainLinks(std::size_t host);
    void closeUnwanted(std::size_t host);
    void connect(std::size_t from, std::size_t to);
    void closeLink(std::size_t from, std::size_t to);
    void readList(std::size_t host);
    void broadcast(std::size_t host, const PeerMessage &message);
    void send(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes);
    void deliver(std::size_t from, std::size_t to, const std::string &bytes);
    void handle(std::size_t from, std::size_t to, const PeerMessage &message);
    bool reachable(std::size_t from, std::size_t to) const;
    Node &node(std::size_t host);

    FleetOptions options;
    SeededRandom random;
    NullMetrics metrics;
    NullEventLog log;
    TimePoint clock;
    std::uint64_t nextOrder = 0;
    Incarnation nextIncarnation = 1;
    std::priority_queue<Event> events;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<HostId, std::size_t> indexes;
    std::set<std::string> cutDomains;
    FleetTraffic sent;
};

} // namespace dotterel
