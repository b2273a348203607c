#include "platform_store.h"

#include "support/scripted_server.h"
#include "transport/keep_alive_http_client.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using dotterel::platform::PlatformStore;
using std::chrono::milliseconds;

namespace {

std::string httpResponse(int status, const std::string &body, const std::string &headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

struct StoreFixture
{
    /// Runs \a operation against a server that answers with \a response; returns its result.
    template <typename Result, typename Operation>
    Result run(const std::string &response, ScriptEnd end, const Operation &operation)
    {
        ScriptedServer server(this->loop, {40, response, end});
        PlatformStore store(this->loop, this->client, server.endpoint(), milliseconds(200));
        std::optional<Result> result;
        operation(store, [&result](const Result &operationResult) { result = operationResult; });
        const TimePoint deadline = this->loop.now() + std::chrono::seconds(5);
        while (!result && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wakeTimer = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        this->call.reset();
        REQUIRE(result);
        this->receivedRequest = server.received();
        return *result;
    }

    CollectionStore::PageResult list(const std::string &response, ScriptEnd end = ScriptEnd::Close)
    {
        return this->run<CollectionStore::PageResult>(
                response, end,
                [](PlatformStore &store, const CollectionStore::PageCallback &callback) {
                    store.list(Collection::Servers, ListFreshness::MayBeStale, callback);
                });
    }

    CollectionStore::PageResult watch(const std::string &response)
    {
        return this->run<CollectionStore::PageResult>(
                response, ScriptEnd::Close,
                [this](PlatformStore &store, const CollectionStore::PageCallback &callback) {
                    this->call = store.watch(Collection::Configuration, 530, milliseconds(100),
                                             callback);
                });
    }

    EventLoop loop;
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
    std::string receivedRequest;
    std::unique_ptr<StoreCall> call; ///< The running watch.
};

} // namespace

TEST_CASE("Collections can be listed and watched", "[Platform][PlatformStore]")
{
    StoreFixture fixture;
    SECTION("a list returns the objects and the revision of the store")
    {
        const auto page = fixture.list(httpResponse(
                200, R"({"items":[{"metadata":{"name":"i-1","rev":4},"spec":{"a":1}}],)"
                     R"("more":false,"at":530})"));
        REQUIRE(page);
        CHECK(page->revision == 530);
        REQUIRE(page->objects.size() == 1);
        CHECK(page->objects[0].name == "i-1");
        CHECK(page->objects[0].revision == 4);
        CHECK(page->objects[0].text == R"({"a":1})");
        CHECK_THAT(fixture.receivedRequest,
                   Catch::StartsWith("GET /-/objects/servers?serializable=1 "));
    }
    SECTION("a watch returns changed and removed objects")
    {
        const auto page = fixture.watch(httpResponse(
                200, R"({"events":[{"removed":true,"object":{"metadata":{"name":"i-1","rev":4}}},)"
                     R"({"removed":false,"object":{"metadata":{"name":"i-2","rev":6},"spec":2}}],)"
                     R"("at":533})"));
        REQUIRE(page);
        CHECK(page->revision == 533);
        REQUIRE(page->objects.size() == 2);
        CHECK(page->objects[0].removed);
        CHECK(page->objects[0].revision == 5);
        CHECK(page->objects[1].text == "2");
        CHECK_THAT(fixture.receivedRequest,
                   Catch::StartsWith("GET /-/objects/config?watch=530&wait_ms=100 "));
    }
    SECTION("a response states the era of the store, and the version of a configuration")
    {
        const std::string events =
                R"({"events":[{"object":{"metadata":{"name":"main","rev":9},"spec":{"version":7}}}],)"
                R"("at":9})";
        const auto eraOf = [&](const std::string &header) {
            const auto page = fixture.watch(httpResponse(200, events, header));
            REQUIRE(page);
            CHECK(page->objects.at(0).version == 7);
            return std::make_pair(page->era, page->hasUnreadableEra);
        };
        CHECK(eraOf("Store-Era: 3\r\n") == std::make_pair(std::uint64_t{3}, false));
        CHECK(eraOf("") == std::make_pair(std::uint64_t{0}, false));
        CHECK(eraOf("Store-Era: soon\r\n") == std::make_pair(std::uint64_t{0}, true));
        CHECK(eraOf("Store-Era: -2\r\n") == std::make_pair(std::uint64_t{0}, true));
        CHECK(eraOf("Store-Era: 99999999999999999999\r\n")
              == std::make_pair(std::uint64_t{0}, true));
    }
    SECTION("dropped history and an unavailable store give different errors")
    {
        CHECK(fixture.watch(httpResponse(410, "")).error() == StoreError::NotFound);
        CHECK(fixture.watch(httpResponse(429, "")).error() == StoreError::Unavailable);
        CHECK(fixture.watch(httpResponse(503, "")).error() == StoreError::Unavailable);
        CHECK(fixture.watch(httpResponse(200, "not json")).error() == StoreError::Unavailable);
        CHECK(fixture.list("", ScriptEnd::Hold).error() == StoreError::NoResponse);
        CHECK(fixture.list("", ScriptEnd::Reset).error() == StoreError::Unavailable);
    }
}

TEST_CASE("A failed write reports whether it may have taken effect", "[Platform][PlatformStore]")
{
    StoreFixture fixture;
    using WriteResult = tl::expected<void, StoreError>;
    const auto put = [&fixture](const std::string &response, ScriptEnd end) {
        return fixture.run<WriteResult>(
                response, end,
                [](PlatformStore &store, const CollectionStore::WriteCallback &callback) {
                    store.put(Collection::Hosts, "h1", R"({"x":1})", callback);
                });
    };
    CHECK(put(httpResponse(200, "{}"), ScriptEnd::Close));
    CHECK_THAT(fixture.receivedRequest, Catch::StartsWith("POST /-/objects/dotterelfield-hosts "));
    CHECK_THAT(fixture.receivedRequest,
               Catch::EndsWith(R"({"metadata":{"name":"h1"},"spec":{"x":1}})"));
    CHECK(put(httpResponse(503, ""), ScriptEnd::Close).error() == StoreError::Unavailable);
    CHECK(put("", ScriptEnd::Hold).error() == StoreError::UnknownOutcome);
}
