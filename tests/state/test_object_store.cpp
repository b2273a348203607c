#include "core/metrics.h"
#include "fakes/fake_object_store.h"
#include "fakes/fake_platform.h"
#include "state/http_object_store.h"

#include <catch2/catch.hpp>

using namespace dotterel;

namespace {

constexpr Duration CallTimeout = std::chrono::milliseconds(200);
constexpr int MaxEventLoopTurns = 100'000;

/// The in-memory fake that the unit tests use.
class FakeStoreHarness
{
public:
    ObjectStore &store() { return this->fake; }
    void advance() { this->time.runFor(std::chrono::milliseconds(1)); }
    void refuseConnections()
    {
        this->setFault([](fakes::ObjectStoreFaults &faults) { faults.refused = true; });
    }
    void breakConnections()
    {
        this->setFault([](fakes::ObjectStoreFaults &faults) { faults.loseRequest = 1; });
    }
    void loseResponses()
    {
        this->setFault([](fakes::ObjectStoreFaults &faults) { faults.loseAnswer = 1; });
    }
    void returnStaleValues()
    {
        this->setFault([](fakes::ObjectStoreFaults &faults) { faults.stale = 1; });
    }
    void clearFaults() { this->fake.setFaults({}); }

private:
    template <typename Change>
    void setFault(const Change &change)
    {
        fakes::ObjectStoreFaults faults;
        change(faults);
        this->fake.setFaults(faults);
    }

    fakes::VirtualTime time;
    SeededRandom random{1};
    fakes::FakeObjects objects;
    fakes::FakeObjectStore fake{this->time, this->objects, this->random};
};

/// The HTTP client with a fake platform that listens on loopback.
class HttpHarness
{
public:
    ObjectStore &store() { return *this->activeStore; }
    void advance() { this->loop.runOnce(true); }
    void refuseConnections() { this->activeStore = &this->unreachableStore; }
    void breakConnections() { this->platform.setFaults({true, false, false, Duration::zero()}); }
    void loseResponses() { this->platform.setFaults({false, true, false, Duration::zero()}); }
    void returnStaleValues() { this->platform.setFaults({false, false, true, Duration::zero()}); }
    void clearFaults()
    {
        this->platform.setFaults({});
        this->activeStore = &this->reachableStore;
    }

private:
    EventLoop loop;
    NullMetrics metrics;
    HttpClient client{this->loop};
    fakes::FakePlatform platform{this->loop, Endpoint{}};
    HttpObjectStore reachableStore{this->loop, this->client, this->platform.endpoint(), CallTimeout,
                                   this->metrics};
    // No process listens on port 1, so connections are refused.
    HttpObjectStore unreachableStore{this->loop, this->client, Endpoint{"127.0.0.1", 1},
                                     CallTimeout, this->metrics};
    ObjectStore *activeStore = &this->reachableStore;
};

template <typename Harness>
struct BlockingClient
{
    template <typename Result, typename StartFunction>
    Result wait(const StartFunction &start)
    {
        std::optional<Result> result;
        int callbackCount = 0;
        start([&result, &callbackCount](const Result &outcome, TimePoint) {
            result = outcome;
            ++callbackCount;
        });
        for (int i = 0; i < MaxEventLoopTurns && !result; ++i)
            this->harness.advance();
        REQUIRE(result);
        CHECK(callbackCount == 1);
        return *result;
    }
    ObjectStore::WriteResult write(const std::string &key, const std::string &value,
                                   std::uint64_t expected)
    {
        return this->wait<ObjectStore::WriteResult>(
                [&](const ObjectStore::WriteCallback &callback) {
                    this->harness.store().write(key, value, expected, callback);
                });
    }
    ObjectStore::WriteResult remove(const std::string &key, std::uint64_t expected)
    {
        return this->wait<ObjectStore::WriteResult>(
                [&](const ObjectStore::WriteCallback &callback) {
                    this->harness.store().remove(key, expected, callback);
                });
    }
    ObjectStore::ReadResult read(const std::string &key)
    {
        return this->wait<ObjectStore::ReadResult>([&](const ObjectStore::ReadCallback &callback) {
            this->harness.store().read(key, callback);
        });
    }
    ObjectStore::ReadResult watch(const std::string &key, std::uint64_t knownVersion)
    {
        return this->wait<ObjectStore::ReadResult>([&](const ObjectStore::ReadCallback &callback) {
            this->harness.store().watch(key, knownVersion, std::chrono::milliseconds(30), callback);
        });
    }
    ObjectStore::ListResult list(const std::string &prefix)
    {
        return this->wait<ObjectStore::ListResult>([&](const ObjectStore::ListCallback &callback) {
            this->harness.store().list(prefix, callback);
        });
    }

    Harness harness;
};

template <typename Result>
std::optional<StoreError> storeError(const Result &result)
{
    if (result)
        return std::nullopt;
    return result.error();
}

} // namespace

TEMPLATE_TEST_CASE("Object stores fulfil the contract of the interface", "[State][ObjectStore]",
                   FakeStoreHarness, HttpHarness)
{
    BlockingClient<TestType> blockingClient;
    const std::uint64_t first = blockingClient.write("a/1", "one", 0).value_or(0);
    REQUIRE(first > 0);

    SECTION("a conditional write succeeds only for the current version")
    {
        CHECK(storeError(blockingClient.write("a/1", "two", 0)) == StoreError::Conflict);
        const std::uint64_t second = blockingClient.write("a/1", "two", first).value_or(0);
        CHECK(second > first);
        CHECK(storeError(blockingClient.write("a/1", "three", first)) == StoreError::Conflict);
        CHECK(blockingClient.read("a/1")->value == "two");
        CHECK(blockingClient.read("a/1")->version == second);
        CHECK(storeError(blockingClient.remove("a/1", first)) == StoreError::Conflict);
        CHECK(blockingClient.remove("a/1", second));
        CHECK(storeError(blockingClient.read("a/1")) == StoreError::NotFound);
        CHECK(blockingClient.write("a/1", "again", 0).value_or(0) > second);
    }
    SECTION("a value of one megabyte is stored and a larger one is refused")
    {
        const std::string largest(1'000'000, 'x');
        CHECK(blockingClient.write("large", largest, 0));
        CHECK(blockingClient.read("large")->value.size() == largest.size());
        CHECK(storeError(blockingClient.write("larger", largest + "x", 0)) == StoreError::TooLarge);
    }
    SECTION("a list contains the keys with the prefix, sorted")
    {
        CHECK(blockingClient.write("a/2", "two", 0));
        CHECK(blockingClient.write("b", "no", 0));
        const ObjectStore::ListResult list = blockingClient.list("a/");
        REQUIRE(list);
        REQUIRE(list->size() == 2);
        CHECK(list->at(0).key == "a/1");
        CHECK(list->at(1).value == "two");
    }
    SECTION("a watch returns a newer version or times out")
    {
        CHECK(blockingClient.watch("a/1", 0)->version == first);
        CHECK(storeError(blockingClient.watch("a/1", first)) == StoreError::NotFound);
        CHECK(storeError(blockingClient.watch("none", 0)) == StoreError::NotFound);
    }
    SECTION("a refused connection means that nothing was written")
    {
        blockingClient.harness.refuseConnections();
        CHECK(storeError(blockingClient.write("a/1", "two", first)) == StoreError::Unavailable);
        CHECK(storeError(blockingClient.read("a/1")) == StoreError::Unavailable);
        CHECK(storeError(blockingClient.list("a/")) == StoreError::Unavailable);
        CHECK(storeError(blockingClient.watch("a/1", 0)) == StoreError::Unavailable);
        blockingClient.harness.clearFaults();
        CHECK(blockingClient.read("a/1")->value == "one");
    }
    SECTION("a broken connection makes the outcome of a write unknown, but not of a read")
    {
        blockingClient.harness.breakConnections();
        CHECK(storeError(blockingClient.write("a/1", "two", first)) == StoreError::UnknownOutcome);
        CHECK(storeError(blockingClient.read("a/1")) == StoreError::Unavailable);
    }
    SECTION("a write whose response is lost takes effect")
    {
        blockingClient.harness.loseResponses();
        CHECK(storeError(blockingClient.write("a/1", "two", first)) == StoreError::UnknownOutcome);
        blockingClient.harness.clearFaults();
        CHECK(blockingClient.read("a/1")->value == "two");
        CHECK(storeError(blockingClient.write("a/1", "two", first)) == StoreError::Conflict);
    }
    SECTION("a read may be stale, but a conditional write checks the current version")
    {
        CHECK(blockingClient.write("a/1", "two", first));
        blockingClient.harness.returnStaleValues();
        bool sawStaleValue = false;
        for (int i = 0; i < 50 && !sawStaleValue; ++i) {
            const ObjectStore::ReadResult result = blockingClient.read("a/1");
            sawStaleValue = !result || result->value == "one";
        }
        CHECK(sawStaleValue);
        CHECK(storeError(blockingClient.write("a/1", "three", first)) == StoreError::Conflict);
    }
}
