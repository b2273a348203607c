#pragma once

#include "bench/fleet_bench.h"
#include "transport/event_loop.h"

#include <memory>
#include <vector>

namespace dotterel {

/// Memberships that talk over real links on loopback, all on one loop, in real time.
class FleetOnLoop : public BenchFleet
{
public:
    explicit FleetOnLoop(const FleetOptions &options);
    ~FleetOnLoop() override;

    void start(std::size_t host) override;
    void kill(std::size_t host) override;
    void leave(std::size_t host) override;
    void announce(std::size_t host, std::uint64_t version) override;
    bool running(std::size_t host) const override;
    const Membership &membership(std::size_t host) const override;
    std::uint64_t configurationVersion(std::size_t host) const override;
    FleetTraffic traffic() const override;
    TimePoint now() const override { return this->loop.now(); }
    void advance(Duration time) override;

private:
    class Host;
    class List;

    FleetOptions options;
    EventLoop loop;
    std::unique_ptr<List> list;
    std::vector<std::unique_ptr<Host>> hosts;
    Incarnation nextIncarnation = 1;
    FleetTraffic sent; ///< By hosts that have ended.
};

} // namespace dotterel
