#include "gateway/silence_replies.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A host with a stream at a server contradicts the report that it is silent",
          "[Gateway][SilenceReplies]")
{
    SeededRandom random(1);
    SilenceReplies replies(SilenceReplySettings{}, random);
    TimePoint now{seconds(100)};

    SECTION("within some milliseconds")
    {
        replies.onReport("s1", now - milliseconds(60), now);
        REQUIRE(replies.nextDue());
        CHECK(*replies.nextDue() <= now + milliseconds(30));
        CHECK(replies.takeDue(now + milliseconds(30)) == std::vector<ServerId>{"s1"});
        CHECK_FALSE(replies.nextDue());

        SECTION("and once for all reports of the same time")
        {
            replies.onReport("s1", now + milliseconds(40), now + milliseconds(50));
            CHECK_FALSE(replies.nextDue());
        }
    }
    SECTION("not if the server has sent nothing to it for as long as a dark one")
    {
        replies.onReport("s1", now - milliseconds(600), now);
        replies.onReport("s2", std::nullopt, now);
        CHECK_FALSE(replies.nextDue());
    }
    SECTION("not if another host was first")
    {
        replies.onReport("s1", now, now);
        replies.onReply("s1", now);
        CHECK(replies.takeDue(now + milliseconds(30)).empty());
    }
}

TEST_CASE("Twelve hosts with streams at one engine send few contradictions",
          "[Gateway][SilenceReplies]")
{
    // Replays a full engine of twelve slots whose prompts come from as many hosts, with a delay
    // of 8 ms until a reply has reached the others.
    constexpr std::size_t HostCount = 12;
    constexpr int Reports = 200;
    constexpr milliseconds Delay(8);
    std::vector<std::unique_ptr<SeededRandom>> randoms;
    std::vector<std::unique_ptr<SilenceReplies>> hosts;
    for (std::size_t host = 0; host < HostCount; ++host) {
        randoms.push_back(std::make_unique<SeededRandom>(host + 1));
        hosts.push_back(std::make_unique<SilenceReplies>(SilenceReplySettings{}, *randoms.back()));
    }
    int sent = 0;
    TimePoint now{seconds(100)};
    for (int report = 0; report < Reports; ++report) {
        for (const auto &host : hosts)
            host->onReport("s1", now, now);
        std::vector<TimePoint> arrivals;
        for (milliseconds passed(0); passed <= milliseconds(30); ++passed) {
            for (const TimePoint arrival : arrivals) {
                if (arrival != now + passed)
                    continue;
                for (const auto &host : hosts)
                    host->onReply("s1", now + passed);
            }
            for (const auto &host : hosts) {
                if (host->takeDue(now + passed).empty())
                    continue;
                ++sent;
                arrivals.push_back(now + passed + Delay);
            }
        }
        now += seconds(1);
    }
    CHECK(sent >= Reports);
    CHECK(sent <= 5 * Reports);
}
