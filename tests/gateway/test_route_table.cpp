#include "gateway/event_stream_splitter.h"
#include "gateway/prompt_updates.h"
#include "gateway/route_table.h"

#include <catch2/catch.hpp>

using namespace dotterel;

namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = host + prefix;
    result.hostName = host;
    result.pathPrefix = prefix;
    return result;
}

} // namespace

TEST_CASE("RouteTable matches the longest path prefix of the host", "[Gateway][RouteTable]")
{
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->routes = {route("a", "/"), route("a", "/x/"), route("a", "/x/y/"),
                             route("b", "/x/")};
    configuration->workspacesByApiKey["key"] = {"cakes", std::nullopt};
    const RouteTable table(configuration);
    const auto routeName = [&table](const char *host, const char *target) {
        const Route *found = table.findRoute(host, target);
        return found == nullptr ? std::string("none") : found->name;
    };
    CHECK(routeName("a", "/x/y/z") == "a/x/y/");
    CHECK(routeName("a", "/x/y") == "a/x/");
    CHECK(routeName("a", "/x/?p=/x/y/") == "a/x/");
    CHECK(routeName("a", "/other") == "a/");
    CHECK(routeName("b", "/other") == "none");
    CHECK(routeName("c", "/x/") == "none");
    CHECK(routeName("a", "") == "none");
    CHECK(routeName("a", "x") == "none");
    CHECK(table.findWorkspace("key")->name == "cakes");
    CHECK(table.findWorkspace("") == nullptr);
    CHECK(RouteTable().findRoute("a", "/x/") == nullptr);
    CHECK(RouteTable().findWorkspace("key") == nullptr);
}

TEST_CASE("EventStreamSplitter returns complete events however the bytes are split",
          "[Gateway][EventStreamSplitter]")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
    for (std::size_t splitAt = 0; splitAt <= text.size(); ++splitAt) {
        EventStreamSplitter splitter;
        std::vector<StreamEvent> events = splitter.feed(text.substr(0, splitAt));
        for (StreamEvent &event : splitter.feed(text.substr(splitAt)))
            events.push_back(std::move(event));
        INFO("split at byte " << splitAt);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1U);
        CHECK(events[1].id == 2U);
        CHECK_FALSE(events[2].id);
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes + splitter.remainder() == text);
    }
}

TEST_CASE("PromptUpdateBatch round-trips through CBOR, and malformed datagrams are rejected",
          "[Gateway][PromptUpdateBatch]")
{
    PromptUpdateBatch batch;
    batch.senderHash = 77;
    PromptUpdate update;
    update.kind = PromptUpdateKind::Dispatched;
    update.sequence = 5;
    update.serverHash = 9;
    update.helperHashes = {10, 11};
    update.helperMemoryTokens = {0, 120'000};
    update.demand.promptTokens = 500'000;
    update.demand.value = 24.5;
    update.demand.callerTimeLeft = std::chrono::seconds(15);
    batch.updates = {update, {PromptUpdateKind::FirstEvent, 5, 0, {}, {}, {}}};
    const std::string bytes = encodePromptUpdates(batch);
    const auto decoded = decodePromptUpdates(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->updates.size() == 2);
    CHECK(decoded->senderHash == 77);
    CHECK(decoded->updates[0].helperHashes == update.helperHashes);
    CHECK(decoded->updates[0].helperMemoryTokens == update.helperMemoryTokens);
    CHECK(decoded->updates[0].demand.value == Approx(24.5));
    CHECK(decoded->updates[1].kind == PromptUpdateKind::FirstEvent);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePromptUpdates(bytes.substr(0, length)));
    CHECK_FALSE(decodePromptUpdates("\x82\x01\x81\x82\x07\x01"));
}
