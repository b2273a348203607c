#include "gateway/prompt_updates.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using std::chrono::milliseconds;

namespace {

PromptUpdate dispatchOf(std::uint64_t sequence)
{
    PromptUpdate update;
    update.kind = PromptUpdateKind::Dispatched;
    update.sequence = sequence;
    update.serverHash = 77;
    update.helperHashes = {5};
    update.helperMemoryTokens = {1'000};
    update.demand.promptTokens = 90'000;
    update.demand.outputTokens = 600;
    update.demand.firstEventTarget = milliseconds(3'000);
    update.demand.callerTimeLeft = milliseconds(9'000);
    return update;
}

std::string cbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

} // namespace

TEST_CASE("A batch of prompt updates survives encoding", "[Gateway][PromptUpdates]")
{
    PromptUpdateBatch batch;
    batch.senderHash = 9;
    batch.updates = {dispatchOf(1), {PromptUpdateKind::Ended, 1, 0, {}, {}, {}}};

    SECTION("a batch of updates alone has the two elements that earlier versions know")
    {
        const std::string bytes = encodePromptUpdates(batch);
        CHECK(nlohmann::json::from_cbor(bytes).size() == 2);
        const auto decoded = decodePromptUpdates(bytes);
        REQUIRE(decoded);
        REQUIRE(decoded->updates.size() == 2);
        CHECK(decoded->updates[0].demand.promptTokens == 90'000);
        CHECK_FALSE(decoded->joinedAt);
        CHECK(decoded->running.empty());
    }
    SECTION("the announcement of a host that starts")
    {
        batch.joinedAt = Endpoint{"10.0.0.4", 7'000};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        REQUIRE(decoded->joinedAt);
        CHECK(*decoded->joinedAt == Endpoint{"10.0.0.4", 7'000});
    }
    SECTION("servers that leave, with their incarnation")
    {
        batch.leavingServers = {{7, 1'700'000'000'000}};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        REQUIRE(decoded->leavingServers.size() == 1);
        CHECK(decoded->leavingServers[0].serverHash == 7);
        CHECK(decoded->leavingServers[0].incarnation == 1'700'000'000'000);
    }
    SECTION("limits of servers, named and lifted")
    {
        batch.limits = {{7, 3, 2, 1.8, 41}, {8, 4, 9, std::nullopt, 0}};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        REQUIRE(decoded->limits.size() == 2);
        CHECK(decoded->limits[0].serverHash == 7);
        CHECK(decoded->limits[0].incarnation == 3);
        CHECK(decoded->limits[0].revision == 2);
        CHECK(decoded->limits[0].limit == 1.8);
        CHECK(decoded->limits[0].sent == 41);
        CHECK_FALSE(decoded->limits[1].limit);

        batch.limits[0].limit = -1.0;
        CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(batch)));
    }
    SECTION("servers that work although a host reported them as silent")
    {
        batch.workingServers = {7, 8};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        CHECK(decoded->workingServers == std::vector<std::uint32_t>{7, 8});
    }
    SECTION("servers that warm up, and those that have")
    {
        batch.warmUps = {{7, 3, milliseconds(2'400), milliseconds(70), 41}, {8, 4, {}, {}, 0}};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        REQUIRE(decoded->warmUps.size() == 2);
        CHECK(decoded->warmUps[0].serverHash == 7);
        CHECK(decoded->warmUps[0].incarnation == 3);
        CHECK(decoded->warmUps[0].left == milliseconds(2'400));
        CHECK(decoded->warmUps[0].age == milliseconds(70));
        CHECK(decoded->warmUps[0].sent == 41);
        CHECK(decoded->warmUps[1].left == Duration::zero());

        batch.warmUps[0].left = milliseconds(-1);
        CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(batch)));
    }
    SECTION("asks for retries, and loans")
    {
        batch.retryAsks = {{17, 3, 0.35, 2.5}};
        batch.retryLoans = {{17, 9, 1.25}};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        REQUIRE(decoded->retryAsks.size() == 1);
        CHECK(decoded->retryAsks[0].poolHash == 17);
        CHECK(decoded->retryAsks[0].number == 3);
        CHECK(decoded->retryAsks[0].tokens == 0.35);
        CHECK(decoded->retryAsks[0].value == 2.5);
        REQUIRE(decoded->retryLoans.size() == 1);
        CHECK(decoded->retryLoans[0].number == 9);
        CHECK(decoded->retryLoans[0].tokens == 1.25);
    }
    SECTION("running prompts, with their age and remaining prefill")
    {
        batch.running = {{dispatchOf(4), milliseconds(1'200), milliseconds(300)}};
        const auto decoded = decodePromptUpdates(encodePromptUpdates(batch));
        REQUIRE(decoded);
        REQUIRE(decoded->running.size() == 1);
        CHECK(decoded->running[0].age == milliseconds(1'200));
        CHECK(decoded->running[0].prefillLeft == milliseconds(300));
        CHECK(decoded->running[0].dispatch.sequence == 4);
        CHECK(decoded->running[0].dispatch.helperMemoryTokens.front() == 1'000);
    }
}

TEST_CASE("A batch that is to be passed on arrives unchanged", "[Gateway][PromptUpdates]")
{
    PromptUpdateBatch batch;
    batch.senderHash = 9;
    batch.workingServers = {7};
    const std::string bytes = encodePromptUpdates(batch);
    CHECK(unwrapForwarded(wrapForForwarding(bytes)) == bytes);
    CHECK_FALSE(unwrapForwarded(bytes));
    CHECK_FALSE(unwrapForwarded(""));
    CHECK_FALSE(unwrapForwarded(cbor(nlohmann::json::array({4}))));
    // Hosts of earlier versions never get one; they would reject it.
    CHECK_FALSE(decodePromptUpdates(wrapForForwarding(bytes)));
}

TEST_CASE("An invalid batch from a peer is rejected with an error", "[Gateway][PromptUpdates]")
{
    using nlohmann::json;
    const json ended = {2, 8};
    struct Row
    {
        const char *description;
        json batch;
    };
    const std::vector<Row> rows = {
            {"no array", json::object()},
            {"running prompts are no list", {1, json::array(), {{"running", 4}}}},
            {"a running prompt that is no dispatch",
             {1, json::array(), {{"running", {{10, 10, ended}}}}}},
            {"an address that is no address", {1, json::array(), {{"joined", "here"}}}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.description);
        CHECK_FALSE(decodePromptUpdates(cbor(row.batch)));
    }
    PromptUpdateBatch loan;
    loan.retryLoans = {{17, 9, -1}};
    CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(loan)));
    PromptUpdateBatch batch;
    batch.running = {{dispatchOf(4), std::chrono::hours(2), milliseconds(300)}};
    CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(batch)));
    batch.running = {{dispatchOf(4), milliseconds(-1), milliseconds(300)}};
    CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(batch)));
    batch.running.assign(1'001, {dispatchOf(4), milliseconds(1), milliseconds(1)});
    CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(batch)));

    SECTION("fields of later versions are ignored")
    {
        const auto decoded =
                decodePromptUpdates(cbor({1, json::array(), {{"later", 1}}, "and more"}));
        REQUIRE(decoded);
        CHECK(decoded->senderHash == 1);
    }
}
