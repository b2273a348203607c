#include "core/metrics.h"
#include "fakes/fake_object_store.h"
#include "fakes/fake_platform.h"
#include "state/http_object_store.h"

#include <catch2/catch.hpp>

using namespace dotterel;

namespace {

constexpr Duration CallTimeout = std::chrono::milliseconds(200);
constexpr int MostTurns = 100'000;

/// The in-memory store that the decisions are tested against.
class VirtualHarness
{
public:
    ObjectStore &store() { return this->fake; }
    void turn() { this->time.runFor(std::chrono::milliseconds(1)); }
    void refuse()
    {
        this->set([](fakes::ObjectStoreFaults &faults) { faults.refused = true; });
    }
    void breakCalls()
    {
        this->set([](fakes::ObjectStoreFaults &faults) { faults.loseRequest = 1; });
    }
    void loseAnswers()
    {
        this->set([](fakes::ObjectStoreFaults &faults) { faults.loseAnswer = 1; });
    }
    void answerStale()
    {
        this->set([](fakes::ObjectStoreFaults &faults) { faults.stale = 1; });
    }
    void heal() { this->fake.setFaults({}); }

private:
    template <typename Change>
    void set(const Change &change)
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

/// The product's adapter over the stand-in that listens on loopback.
class HttpHarness
{
public:
    ObjectStore &store() { return *this->current; }
    void turn() { this->loop.runOnce(true); }
    void refuse() { this->current = &this->refused; }
    void breakCalls() { this->platform.setFaults({true, false, false, Duration::zero()}); }
    void loseAnswers() { this->platform.setFaults({false, true, false, Duration::zero()}); }
    void answerStale() { this->platform.setFaults({false, false, true, Duration::zero()}); }
    void heal()
    {
        this->platform.setFaults({});
        this->current = &this->reached;
    }

private:
    EventLoop loop;
    NullMetrics metrics;
    HttpClient client{this->loop};
    fakes::FakePlatform platform{this->loop, Endpoint{}};
    HttpObjectStore reached{this->loop, this->client, this->platform.endpoint(), CallTimeout,
                            this->metrics};
    // Nothing listens on port 1.
    HttpObjectStore refused{this->loop, this->client, Endpoint{"127.0.0.1", 1}, CallTimeout,
                            this->metrics};
    ObjectStore *current = &this->reached;
};

template <typename Harness>
struct Calls
{
    template <typename Result, typename Begin>
    Result wait(const Begin &begin)
    {
        std::optional<Result> result;
        int answers = 0;
        begin([&result, &answers](const Result &given, TimePoint) {
            result = given;
            ++answers;
        });
        for (int i = 0; i < MostTurns && !result; ++i)
            this->harness.turn();
        REQUIRE(result);
        CHECK(answers == 1);
        return *result;
    }
    ObjectStore::WriteResult write(const std::string &key, const std::string &value,
                                   std::uint64_t expected)
    {
        return this->wait<ObjectStore::WriteResult>([&](const ObjectStore::WriteCallback &done) {
            this->harness.store().write(key, value, expected, done);
        });
    }
    ObjectStore::WriteResult remove(const std::string &key, std::uint64_t expected)
    {
        return this->wait<ObjectStore::WriteResult>([&](const ObjectStore::WriteCallback &done) {
            this->harness.store().remove(key, expected, done);
        });
    }
    ObjectStore::ReadResult read(const std::string &key)
    {
        return this->wait<ObjectStore::ReadResult>([&](const ObjectStore::ReadCallback &done) {
            this->harness.store().read(key, done);
        });
    }
    ObjectStore::ReadResult watch(const std::string &key, std::uint64_t known)
    {
        return this->wait<ObjectStore::ReadResult>([&](const ObjectStore::ReadCallback &done) {
            this->harness.store().watch(key, known, std::chrono::milliseconds(30), done);
        });
    }
    ObjectStore::ListResult list(const std::string &prefix)
    {
        return this->wait<ObjectStore::ListResult>([&](const ObjectStore::ListCallback &done) {
            this->harness.store().list(prefix, done);
        });
    }

    Harness harness;
};

template <typename Result>
std::optional<StoreError> errorOf(const Result &result)
{
    if (result)
        return std::nullopt;
    return result.error();
}

} // namespace

TEMPLATE_TEST_CASE("An object store keeps its contract", "[State][ObjectStore]", VirtualHarness,
                   HttpHarness)
{
    Calls<TestType> calls;
    const std::uint64_t first = calls.write("a/1", "one", 0).value_or(0);
    REQUIRE(first > 0);

    SECTION("only one writer wins a version")
    {
        CHECK(errorOf(calls.write("a/1", "two", 0)) == StoreError::Conflict);
        const std::uint64_t second = calls.write("a/1", "two", first).value_or(0);
        CHECK(second > first);
        CHECK(errorOf(calls.write("a/1", "three", first)) == StoreError::Conflict);
        CHECK(calls.read("a/1")->value == "two");
        CHECK(calls.read("a/1")->version == second);
        CHECK(errorOf(calls.remove("a/1", first)) == StoreError::Conflict);
        CHECK(calls.remove("a/1", second));
        CHECK(errorOf(calls.read("a/1")) == StoreError::NotFound);
        CHECK(calls.write("a/1", "again", 0).value_or(0) > second);
    }
    SECTION("a value of a megabyte is kept and a larger one is refused")
    {
        const std::string largest(1'000'000, 'x');
        CHECK(calls.write("large", largest, 0));
        CHECK(calls.read("large")->value.size() == largest.size());
        CHECK(errorOf(calls.write("larger", largest + "x", 0)) == StoreError::TooLarge);
    }
    SECTION("a list holds the keys with the prefix in order")
    {
        CHECK(calls.write("a/2", "two", 0));
        CHECK(calls.write("b", "no", 0));
        const ObjectStore::ListResult list = calls.list("a/");
        REQUIRE(list);
        REQUIRE(list->size() == 2);
        CHECK(list->at(0).key == "a/1");
        CHECK(list->at(1).value == "two");
    }
    SECTION("a watch answers what is newer and otherwise ends")
    {
        CHECK(calls.watch("a/1", 0)->version == first);
        CHECK(errorOf(calls.watch("a/1", first)) == StoreError::NotFound);
        CHECK(errorOf(calls.watch("none", 0)) == StoreError::NotFound);
    }
    SECTION("a refused connection wrote nothing")
    {
        calls.harness.refuse();
        CHECK(errorOf(calls.write("a/1", "two", first)) == StoreError::Unavailable);
        CHECK(errorOf(calls.read("a/1")) == StoreError::Unavailable);
        CHECK(errorOf(calls.list("a/")) == StoreError::Unavailable);
        CHECK(errorOf(calls.watch("a/1", 0)) == StoreError::Unavailable);
        calls.harness.heal();
        CHECK(calls.read("a/1")->value == "one");
    }
    SECTION("a broken connection leaves the outcome of a write open, not that of a read")
    {
        calls.harness.breakCalls();
        CHECK(errorOf(calls.write("a/1", "two", first)) == StoreError::UnknownOutcome);
        CHECK(errorOf(calls.read("a/1")) == StoreError::Unavailable);
    }
    SECTION("a write whose answer is lost took effect")
    {
        calls.harness.loseAnswers();
        CHECK(errorOf(calls.write("a/1", "two", first)) == StoreError::UnknownOutcome);
        calls.harness.heal();
        CHECK(calls.read("a/1")->value == "two");
        CHECK(errorOf(calls.write("a/1", "two", first)) == StoreError::Conflict);
    }
    SECTION("a read may be stale and a conditional write is not")
    {
        CHECK(calls.write("a/1", "two", first));
        calls.harness.answerStale();
        bool seenOld = false;
        for (int i = 0; i < 50 && !seenOld; ++i) {
            const ObjectStore::ReadResult result = calls.read("a/1");
            seenOld = !result || result->value == "one";
        }
        CHECK(seenOld);
        CHECK(errorOf(calls.write("a/1", "three", first)) == StoreError::Conflict);
    }
}
