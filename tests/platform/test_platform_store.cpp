#include "platform_store.h"

#include "support/scripted_server.h"
#include "transport/keep_alive_http_client.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using dotterel::platform::PlatformStore;
using std::chrono::milliseconds;

namespace {

std::string httpAnswer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

struct Bench
{
    /// Plays \a answer to one call of \a ask and returns its result.
    template <typename Result, typename Ask>
    Result run(const std::string &answer, ScriptEnd end, const Ask &ask)
    {
        ScriptedServer server(this->loop, {40, answer, end});
        PlatformStore store(this->loop, this->client, server.endpoint(), milliseconds(200));
        std::optional<Result> result;
        ask(store, [&result](const Result &outcome) { result = outcome; });
        const TimePoint limit = this->loop.now() + std::chrono::seconds(5);
        while (!result && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(result);
        this->request = server.received();
        return *result;
    }

    CollectionStore::PageResult list(const std::string &answer, ScriptEnd end = ScriptEnd::Close)
    {
        return this->run<CollectionStore::PageResult>(
                answer, end, [](PlatformStore &store, const CollectionStore::PageCallback &done) {
                    store.list(Collection::Servers, ListFreshness::MayBeStale, done);
                });
    }

    CollectionStore::PageResult watch(const std::string &answer)
    {
        return this->run<CollectionStore::PageResult>(
                answer, ScriptEnd::Close,
                [](PlatformStore &store, const CollectionStore::PageCallback &done) {
                    store.watch(Collection::Configuration, 530, milliseconds(100), done);
                });
    }

    EventLoop loop;
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
    std::string request;
};

} // namespace

TEST_CASE("Collections are listed and watched", "[Platform][PlatformStore]")
{
    Bench bench;
    SECTION("a list gives objects, texts and the store's revision")
    {
        const auto page = bench.list(
                httpAnswer(200, R"({"items":[{"metadata":{"name":"i-1","rev":4},"spec":{"a":1}}],)"
                                R"("more":false,"at":530})"));
        REQUIRE(page);
        CHECK(page->revision == 530);
        REQUIRE(page->objects.size() == 1);
        CHECK(page->objects[0].name == "i-1");
        CHECK(page->objects[0].revision == 4);
        CHECK(page->objects[0].text == R"({"a":1})");
        CHECK_THAT(bench.request, Catch::StartsWith("GET /-/objects/servers?serializable=1 "));
    }
    SECTION("a watch gives changes and removals")
    {
        const auto page = bench.watch(httpAnswer(
                200, R"({"events":[{"removed":true,"object":{"metadata":{"name":"i-1","rev":4}}},)"
                     R"({"removed":false,"object":{"metadata":{"name":"i-2","rev":6},"spec":2}}],)"
                     R"("at":533})"));
        REQUIRE(page);
        CHECK(page->revision == 533);
        REQUIRE(page->objects.size() == 2);
        CHECK(page->objects[0].removed);
        CHECK(page->objects[0].revision == 5);
        CHECK(page->objects[1].text == "2");
        CHECK_THAT(bench.request,
                   Catch::StartsWith("GET /-/objects/config?watch=530&wait_ms=100 "));
    }
    SECTION("history that is gone is told apart from a store that is away")
    {
        CHECK(bench.watch(httpAnswer(410, "")).error() == StoreError::NotFound);
        CHECK(bench.watch(httpAnswer(429, "")).error() == StoreError::Unavailable);
        CHECK(bench.watch(httpAnswer(503, "")).error() == StoreError::Unavailable);
        CHECK(bench.watch(httpAnswer(200, "not json")).error() == StoreError::Unavailable);
        CHECK(bench.list("", ScriptEnd::Hold).error() == StoreError::Unavailable);
        CHECK(bench.list("", ScriptEnd::Reset).error() == StoreError::Unavailable);
    }
}

TEST_CASE("A write says whether it may have taken effect", "[Platform][PlatformStore]")
{
    Bench bench;
    using Written = tl::expected<void, StoreError>;
    const auto put = [&bench](const std::string &answer, ScriptEnd end) {
        return bench.run<Written>(
                answer, end, [](PlatformStore &store, const CollectionStore::WriteCallback &done) {
                    store.put(Collection::Hosts, "h1", R"({"x":1})", done);
                });
    };
    CHECK(put(httpAnswer(200, "{}"), ScriptEnd::Close));
    CHECK_THAT(bench.request, Catch::StartsWith("POST /-/objects/dotterelfield-hosts "));
    CHECK_THAT(bench.request, Catch::EndsWith(R"({"metadata":{"name":"h1"},"spec":{"x":1}})"));
    CHECK(put(httpAnswer(503, ""), ScriptEnd::Close).error() == StoreError::Unavailable);
    CHECK(put("", ScriptEnd::Hold).error() == StoreError::UnknownOutcome);
}
