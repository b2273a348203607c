// Servers that refuse connections beside sound ones: a pool is out of reach only if none answers.

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

constexpr int SoundServers = 3;

/// A host with entries of \a deadServers servers that refuse connections, beside sound ones.
struct DeadEntriesBench : ForwardBench
{
    explicit DeadEntriesBench(int deadServers)
    {
        for (int server = 0; server < SoundServers; ++server)
            this->addServer("sound-" + std::to_string(server), "app");
        for (int server = 0; server < deadServers; ++server)
            this->addServer("dead-" + std::to_string(server), "app");
    }

    /// Sends a request, lets the servers react, and returns the status that the caller got.
    int play()
    {
        const HttpCallId call = this->request("/lookups/1");
        while (this->handledAttempts < this->sentAttempts.size()) {
            const std::size_t index = this->handledAttempts++;
            const bool isSound = this->sentAttempts[index].header("Server").rfind("sound", 0) == 0;
            this->advanceTime(milliseconds(1));
            if (isSound && !this->isCut)
                this->respond(index, 200, {{"Signed", "s"}}, "done");
            else
                this->failAttempt(index, HttpFailureKind::ConnectFailed, Verdict::NotRun);
            this->lossesSeen += this->reach.isOutOfReach("app") ? 1 : 0;
        }
        this->advanceTime(milliseconds(9));
        return this->outcome(call).status;
    }

    /// Returns the number of \a count requests in a row that got no answer of a server.
    int unanswered(int count)
    {
        int result = 0;
        for (int request = 0; request < count; ++request)
            result += this->play() == 200 ? 0 : 1;
        return result;
    }

    std::size_t handledAttempts = 0;
    bool isCut = false; ///< The sound servers refuse connections too.
    int lossesSeen = 0; ///< Attempts after which the pool was out of reach.
};

} // namespace

TEST_CASE("Dead entries beside sound servers take no pool out of reach", "[Gateway][Reach]")
{
    const int deadServers = GENERATE(1, 10, 100);
    CAPTURE(deadServers);
    DeadEntriesBench bench(deadServers);

    // A host that has just started has to find the sound servers first.
    const int unansweredAtStart = bench.unanswered(100);
    CHECK(unansweredAtStart <= deadServers / 4);
    CHECK(bench.lossesSeen == 0);

    CHECK(bench.unanswered(1'000) == 0);
    CHECK(bench.lossesSeen == 0);

    // Once the sound servers fail as well, the pool is out of reach after few requests.
    bench.isCut = true;
    bench.unanswered(10);
    CHECK(bench.reach.isOutOfReach("app"));
}
