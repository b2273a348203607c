// Requests that crash the servers on which they run, and whose callers leave before that shows.

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t MaxCrashes = 3;
const HttpHeaders WithLength = {{"Signed", "s"}, {"Content-Length", "1"}};

/// A bench with one server of each pool, which can be replaced by another.
struct LeavingBench : ForwardBench
{
    LeavingBench() { this->addNextServer(); }

    void addNextServer()
    {
        ++this->serverNumber;
        this->addServer(this->appServer(), "app");
        this->addServer(this->engine(), "engines");
    }

    ServerId appServer() const { return "app-" + std::to_string(this->serverNumber); }
    ServerId engine() const { return "engine-" + std::to_string(this->serverNumber); }

    /// The entries of servers that have crashed vanish, and others come.
    void replaceServers()
    {
        this->advanceTime(seconds(3));
        this->fleet.remove(this->appServer(), false, this->now);
        this->fleet.remove(this->engine(), false, this->now);
        this->controller.onServersChanged(this->now);
        this->addNextServer();
        this->advanceTime(milliseconds(100));
    }

    /// Sends a lookup whose caller leaves after \a patience; returns whether it was sent.
    bool sendAndLeave(Duration patience = milliseconds(20))
    {
        return this->leave(this->request("/lookups/", {}, "poison"), patience);
    }

    /// Likewise for a prompt.
    bool promptAndLeave()
    {
        return this->leave(this->request("/questions/", {{"Tokens", "5000,1300"}}, "poison"),
                           milliseconds(100));
    }

    /// Has the server answer another request.
    void answerAnother()
    {
        this->request("/lookups/", {}, "other" + std::to_string(++this->others));
        this->respond(this->sentAttempts.size() - 1, 200, WithLength, "x");
    }

    std::size_t others = 0;

private:
    bool leave(HttpCallId call, Duration patience)
    {
        const std::size_t before = this->knownAttempts;
        this->knownAttempts = this->sentAttempts.size();
        if (this->outcome(call).ended)
            return false;
        this->advanceTime(patience);
        this->controller.onCallerDisconnected(call, this->now);
        return this->knownAttempts > before;
    }

    int serverNumber = 0;
    std::size_t knownAttempts = 0;
};

} // namespace

TEST_CASE("A request whose callers had left crashed server after server",
          "[Gateway][CrashSuspects]")
{
    LeavingBench bench;

    SECTION("its server is gone after the caller has left")
    {
        for (std::size_t crash = 0; crash < MaxCrashes; ++crash) {
            REQUIRE(bench.sendAndLeave());
            bench.replaceServers();
        }
        CHECK_FALSE(bench.sendAndLeave());
        CHECK(bench.crashNotices.size() == MaxCrashes);
    }
    SECTION("its server answers others before the run that was given up ends it")
    {
        for (std::size_t crash = 0; crash < MaxCrashes; ++crash) {
            REQUIRE(bench.sendAndLeave());
            bench.advanceTime(milliseconds(70));
            bench.answerAnother();
            bench.replaceServers();
        }
        CHECK_FALSE(bench.sendAndLeave());
    }
    SECTION("its server refuses connections")
    {
        for (std::size_t crash = 0; crash < MaxCrashes; ++crash) {
            REQUIRE(bench.sendAndLeave());
            bench.advanceTime(milliseconds(300));
            bench.fleet.onConnectionRefused(bench.appServer(), bench.now);
            bench.controller.onServersChanged(bench.now);
            CHECK(bench.crashNotices.size() == crash + 1);
            bench.replaceServers();
        }
        CHECK_FALSE(bench.sendAndLeave());
    }
    SECTION("it is a prompt that had no event yet")
    {
        for (std::size_t crash = 0; crash < MaxCrashes; ++crash) {
            REQUIRE(bench.promptAndLeave());
            bench.replaceServers();
        }
        CHECK_FALSE(bench.promptAndLeave());
    }
}

TEST_CASE("A caller who leaves does not accuse a sound request", "[Gateway][CrashSuspects]")
{
    LeavingBench bench;

    SECTION("whose server lives on")
    {
        for (std::size_t round = 0; round < 2 * MaxCrashes; ++round) {
            REQUIRE(bench.sendAndLeave());
            bench.advanceTime(seconds(1));
            bench.answerAnother();
            bench.replaceServers();
        }
        CHECK(bench.crashNotices.empty());
    }
    SECTION("whose server is not missed within seconds")
    {
        for (std::size_t round = 0; round < 2 * MaxCrashes; ++round) {
            REQUIRE(bench.sendAndLeave());
            bench.advanceTime(seconds(8));
        }
        CHECK(bench.crashNotices.empty());
    }
    SECTION("whose server leaves in order")
    {
        for (std::size_t round = 0; round < 2 * MaxCrashes; ++round) {
            REQUIRE(bench.sendAndLeave());
            bench.fleet.onLeavingAnnounced(bench.appServer(), bench.now);
            bench.replaceServers();
        }
        CHECK(bench.crashNotices.empty());
    }
    SECTION("whose answer had begun")
    {
        for (std::size_t round = 0; round < 2 * MaxCrashes; ++round) {
            const HttpCallId call =
                    bench.request("/questions/", {{"Tokens", "5000,1300"}}, "sound");
            const ForwardAttemptId attempt = bench.sentAttempts.back().id;
            bench.controller.onAttemptHead(attempt, 200, {{"Signed", "s"}}, bench.now);
            bench.controller.onAttemptData(attempt, "id: 1\ndata: x\n\n", bench.now);
            bench.advanceTime(milliseconds(400));
            bench.controller.onCallerDisconnected(call, bench.now);
            bench.replaceServers();
        }
        CHECK(bench.crashNotices.empty());
    }
    SECTION("that has run to completion elsewhere since")
    {
        for (std::size_t round = 0; round < 2 * MaxCrashes; ++round) {
            REQUIRE(bench.sendAndLeave());
            bench.advanceTime(milliseconds(30));
            bench.request("/lookups/", {}, "poison");
            bench.respond(bench.sentAttempts.size() - 1, 200, WithLength, "x");
            bench.replaceServers();
        }
        CHECK(bench.crashNotices.empty());
    }
}
