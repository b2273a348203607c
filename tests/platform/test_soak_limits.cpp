// How the soak counts the requests that servers get after they have named a limit.

#include "platform/soak/soak_limits.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Host = 0;

/// A server that named \a perSecond in an answer long ago, and its requests.
struct LimitedServer
{
    explicit LimitedServer(double perSecond)
    {
        this->name(perSecond);
        this->now += seconds(10);
    }

    void name(double perSecond) { this->limits.onNamed("s-1", Host, perSecond, this->now); }

    /// Lets \a count requests arrive, \a interval apart. Returns how many were too many.
    std::size_t arrive(std::size_t count, Duration interval)
    {
        std::size_t excess = 0;
        for (std::size_t number = 0; number < count; ++number) {
            this->now += interval;
            excess += this->limits.onArrival("s-1", Host, this->now) ? 1 : 0;
        }
        return excess;
    }

    soak::SoakLimits limits;
    TimePoint now{seconds(100)};
};

} // namespace

TEST_CASE("The soak allows one and a half times a limit and five requests",
          "[Platform][SoakLimits]")
{
    LimitedServer server(10);
    CHECK(server.arrive(65, milliseconds(50)) == 0);
    CHECK(server.arrive(1, milliseconds(50)) == 1);
}

// Guards against a violation that the soak reported for requests that the server had allowed.
TEST_CASE("The soak counted a limit that has fallen against the requests before",
          "[Platform][SoakLimits]")
{
    LimitedServer server(12);
    REQUIRE(server.arrive(26, milliseconds(75)) == 0);
    server.now += seconds(2);
    server.name(0.5);

    SECTION("the next request is none too many")
    {
        CHECK(server.arrive(1, milliseconds(16)) == 0);
    }
    SECTION("the lower limit holds for the requests after it")
    {
        server.now += seconds(4);
        CHECK(server.arrive(8, milliseconds(400)) == 0);
        CHECK(server.arrive(20, milliseconds(100)) > 0);
    }
    SECTION("a burst right after it is too many once the earlier limit has left the window")
    {
        server.now += milliseconds(600);
        server.arrive(8, milliseconds(10));
        server.now += milliseconds(3'350);
        CHECK(server.arrive(1, milliseconds(10)) == 1);
    }
}
