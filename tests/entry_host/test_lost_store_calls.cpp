// Exceptions in the calls of a feed to the store.

#include "entry_host/collection_feed.h"

#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <stdexcept>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which a change must be in force after a fault.
constexpr Duration ApplyLimit = seconds(4);

/// A store whose calls throw, or forget their callback, when a test says so.
class FailingStore : public CollectionStore
{
public:
    enum class Fault { None, Throws, Forgets };

    explicit FailingStore(EventLoop &loop)
        : loop(loop)
    {}

    void list(Collection /*collection*/, ListFreshness /*freshness*/,
              PageCallback callback) override
    {
        this->answer(0, callback);
    }
    std::unique_ptr<StoreCall> watch(Collection /*collection*/, std::uint64_t known,
                                     Duration /*wait*/, PageCallback callback) override
    {
        this->answer(known, callback);
        return nullptr;
    }
    void put(Collection /*collection*/, const std::string & /*name*/, const std::string & /*text*/,
             WriteCallback /*callback*/) override
    {}
    void remove(Collection /*collection*/, const std::string & /*name*/,
                WriteCallback /*callback*/) override
    {}

    Fault fault = Fault::None;
    int calls = 0;
    std::uint64_t revision = 1;

private:
    void answer(std::uint64_t known, const PageCallback &callback)
    {
        ++this->calls;
        if (this->fault == Fault::Throws)
            throw std::runtime_error("odd call");
        if (this->fault == Fault::Forgets)
            return;
        this->timer = this->loop.after(milliseconds(20), [this, known, callback] {
            CollectionPage page;
            page.revision = this->revision;
            if (this->revision > known)
                page.objects.push_back({"main", this->revision, false, "text"});
            callback(page);
        });
    }

    EventLoop &loop;
    EventLoop::TimerHandle timer;
};

struct FaultyFeedFixture
{
    FaultyFeedFixture()
    {
        this->loop.setFaultHandler(
                [this](std::string_view, const std::exception &) { ++this->faults; });
        this->feed.setWatching(WatchTurn{0, 1});
        this->feed.start();
        REQUIRE(this->becomesTrue([this] { return this->known == this->store.revision; },
                                  seconds(2)));
    }

    bool becomesTrue(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint start = this->loop.now();
        while (!condition() && this->loop.now() - start < limit) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(10), [] {});
            this->loop.runOnce(true);
        }
        return condition();
    }

    EventLoop loop;
    NullEventLog log;
    NullMetrics metrics;
    SeededRandom random{1};
    FailingStore store{this->loop};
    std::uint64_t known = 0;
    bool listenerFails = false;
    int faults = 0;
    CollectionFeed feed{this->loop,
                        this->store,
                        Collection::Servers,
                        this->random,
                        [this](const std::vector<CollectionObject> &objects,
                               const CollectionFeed::ChangeContext & /*context*/) {
                            if (this->listenerFails)
                                throw std::runtime_error("odd object");
                            this->known = objects.back().revision;
                        },
                        [](const ObjectAnnouncement & /*announcement*/) {},
                        {[] {}, [](std::uint64_t /*era*/) {}},
                        this->metrics,
                        this->log};
};

} // namespace

// Guards against a host that runs on, and is ready, with what it knew before one odd object.
TEST_CASE("After a contained exception a host asked the store no more",
          "[EntryHost][LostStoreCalls]")
{
    FaultyFeedFixture fixture;

    SECTION("the handling of a page fails")
    {
        fixture.listenerFails = true;
        ++fixture.store.revision;
        REQUIRE(fixture.becomesTrue([&] { return fixture.faults > 0; }, seconds(2)));
        fixture.listenerFails = false;
    }
    SECTION("a call fails at once")
    {
        fixture.store.fault = FailingStore::Fault::Throws;
        REQUIRE(fixture.becomesTrue([&] { return fixture.faults > 0; }, seconds(2)));
    }
    SECTION("a call ends without a result")
    {
        fixture.store.fault = FailingStore::Fault::Forgets;
        const int before = fixture.store.calls;
        REQUIRE(fixture.becomesTrue([&] { return fixture.store.calls > before; }, seconds(2)));
    }
    SECTION("calls that go on failing are repeated about once a second")
    {
        fixture.store.fault = FailingStore::Fault::Throws;
        const int before = fixture.store.calls;
        fixture.becomesTrue([] { return false; }, seconds(3));
        CHECK(fixture.store.calls - before >= 2);
        CHECK(fixture.store.calls - before <= 6);
    }
    fixture.store.fault = FailingStore::Fault::None;
    ++fixture.store.revision;
    CHECK(fixture.becomesTrue([&] { return fixture.known == fixture.store.revision; }, ApplyLimit));
}
