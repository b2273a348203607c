#include "gateway/event_stream_splitter.h"
#include "gateway/prompt_news.h"
#include "gateway/route_table.h"

#include <catch2/catch.hpp>

using namespace dotterel;

namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = host + prefix;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

} // namespace

TEST_CASE("The longest prefix of the host is the route", "[Gateway][RouteTable]")
{
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->routes = {route("a", "/"), route("a", "/x/"), route("a", "/x/y/"),
                             route("b", "/x/")};
    configuration->workspacesByKey["key"] = {"cakes", std::nullopt};
    const RouteTable table(configuration);
    const auto nameOf = [&table](const char *host, const char *target) {
        const Route *found = table.find(host, target);
        return found == nullptr ? std::string("none") : found->name;
    };
    CHECK(nameOf("a", "/x/y/z") == "a/x/y/");
    CHECK(nameOf("a", "/x/y") == "a/x/");
    CHECK(nameOf("a", "/x/?p=/x/y/") == "a/x/");
    CHECK(nameOf("a", "/other") == "a/");
    CHECK(nameOf("b", "/other") == "none");
    CHECK(nameOf("c", "/x/") == "none");
    CHECK(nameOf("a", "") == "none");
    CHECK(nameOf("a", "x") == "none");
    CHECK(table.workspace("key")->name == "cakes");
    CHECK(table.workspace("") == nullptr);
    CHECK(RouteTable().find("a", "/x/") == nullptr);
    CHECK(RouteTable().workspace("key") == nullptr);
}

TEST_CASE("A stream is cut into whole events wherever its bytes are cut",
          "[Gateway][EventStreamSplitter]")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventStreamSplitter splitter;
        std::vector<StreamEvent> events = splitter.feed(text.substr(0, cut));
        for (StreamEvent &event : splitter.feed(text.substr(cut)))
            events.push_back(std::move(event));
        INFO("cut at " << cut);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1U);
        CHECK(events[1].id == 2U);
        CHECK_FALSE(events[2].id);
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes + splitter.rest() == text);
    }
}

TEST_CASE("News of prompts crosses the wire whole, and bad datagrams harm nothing",
          "[Gateway][PromptNews]")
{
    PromptUpdateBatch news;
    news.senderHash = 77;
    PromptUpdate item;
    item.kind = PromptUpdateKind::Dispatched;
    item.sequence = 5;
    item.serverHash = 9;
    item.helperHashes = {10, 11};
    item.helperMemoryTokens = {0, 120'000};
    item.demand.promptTokens = 500'000;
    item.demand.value = 24.5;
    item.demand.callerTimeLeft = std::chrono::seconds(15);
    news.updates = {item, {PromptUpdateKind::FirstEvent, 5, 0, {}, {}, {}}};
    const std::string bytes = encodePromptUpdates(news);
    const auto read = decodePromptUpdates(bytes);
    REQUIRE(read);
    REQUIRE(read->updates.size() == 2);
    CHECK(read->senderHash == 77);
    CHECK(read->updates[0].helperHashes == item.helperHashes);
    CHECK(read->updates[0].helperMemoryTokens == item.helperMemoryTokens);
    CHECK(read->updates[0].demand.value == Approx(24.5));
    CHECK(read->updates[1].kind == PromptUpdateKind::FirstEvent);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePromptUpdates(bytes.substr(0, length)));
    CHECK_FALSE(decodePromptUpdates("\x82\x01\x81\x82\x07\x01"));
}
