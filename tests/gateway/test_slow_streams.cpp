#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

/// A stream that has sent its first event. Its callers leave after two seconds without an event.
struct StreamBench : ForwardBench
{
    StreamBench()
    {
        this->addServer("engine-1", "engines");
        this->addServer("engine-2", "engines");
        this->request("/questions/", {{"Tokens", "5000,1300"}});
        this->controller.onAttemptHead(this->sentAttempts[0].id, 200, {{"Signed", "s"}}, this->now);
        this->send("id: 1\ndata: a\n\n");
    }

    void send(const std::string &bytes)
    {
        this->controller.onAttemptData(this->sentAttempts[0].id, bytes, this->now);
    }

    /// Sends \a bytes every 400 ms until the caller would leave.
    void trickle(const std::string &bytes)
    {
        for (int count = 0; count < 4; ++count) {
            this->advanceTime(milliseconds(400));
            if (this->sentAttempts.size() == 1)
                this->send(bytes);
        }
        this->advanceTime(milliseconds(399));
    }
};

} // namespace

TEST_CASE("A stalled stream that sends a byte now and then ends like a silent one",
          "[Gateway][SlowStreams]")
{
    StreamBench bench;
    SECTION("parts of an event that never ends")
    {
        bench.trickle("d");
    }
    SECTION("comments")
    {
        bench.trickle(": still here\n\n");
    }
    CHECK(bench.sentAttempts[0].cancelled);
    CHECK(bench.sentAttempts.size() == 2);
}

TEST_CASE("A slow but sound stream is not cut", "[Gateway][SlowStreams]")
{
    StreamBench bench;
    SECTION("whose events come shortly before the limit")
    {
        for (int event = 2; event < 10; ++event) {
            bench.advanceTime(milliseconds(1'500));
            bench.send("id: " + std::to_string(event) + "\ndata: a\n\n");
        }
    }
    SECTION("whose events come in parts, with comments between")
    {
        for (int event = 2; event < 10; ++event) {
            bench.advanceTime(milliseconds(700));
            bench.send(": still here\n\nid: " + std::to_string(event));
            bench.advanceTime(milliseconds(700));
            bench.send("\ndata: a\n\n");
        }
    }
    CHECK_FALSE(bench.sentAttempts[0].cancelled);
    CHECK(bench.sentAttempts.size() == 1);
}
