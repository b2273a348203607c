// A store that loses watches without closing their connections.

#include "entry_host/collection_feed.h"

#include <catch2/catch.hpp>
#include <functional>
#include <list>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time within which a change must be in force once the store answers.
constexpr Duration ApplyLimit = milliseconds(2'000);
constexpr Duration ResponseGrace = milliseconds(400);

/// A store whose watches can be closed, and which can be silent: what it gets then is lost, and
/// fails as overdue.
class SilentStore : public CollectionStore
{
public:
    explicit SilentStore(EventLoop &loop)
        : loop(loop)
    {}

    void list(Collection /*collection*/, ListFreshness /*freshness*/,
              PageCallback callback) override
    {
        ++this->calls;
        this->after(this->silent ? seconds(1) : milliseconds(1),
                    [this, isLost = this->silent, callback = std::move(callback)] {
                        if (isLost)
                            callback(tl::unexpected(StoreError::NoResponse));
                        else
                            callback(this->pageAfter(0));
                    });
    }

    std::unique_ptr<StoreCall> watch(Collection /*collection*/, std::uint64_t revision,
                                     Duration wait, PageCallback callback) override
    {
        ++this->calls;
        Watch &watch = this->watches.emplace_back();
        watch.revision = revision;
        watch.isLost = this->silent;
        watch.callback = std::move(callback);
        const Duration answerTime = this->silent ? wait + ResponseGrace : wait;
        watch.timeout = this->loop.after(answerTime, [this, &watch] {
            this->end(watch, watch.isLost ? CollectionStore::PageResult(
                                     tl::unexpected(StoreError::NoResponse))
                                          : this->pageAfter(watch.revision));
        });
        return nullptr;
    }

    void put(Collection /*collection*/, const std::string & /*name*/, const std::string & /*text*/,
             WriteCallback /*callback*/) override
    {}
    void remove(Collection /*collection*/, const std::string & /*name*/,
                WriteCallback /*callback*/) override
    {}

    /// Writes the only object and answers the watches that the store has not lost.
    void change()
    {
        ++this->revision;
        for (Watch &watch : this->watches) {
            if (!watch.isLost)
                this->end(watch, this->pageAfter(watch.revision));
        }
    }

    void closeWatches()
    {
        for (Watch &watch : this->watches)
            this->end(watch, tl::unexpected(StoreError::Unavailable));
    }

    /// Connections fall silent without being closed: their watches are lost.
    void loseWatches()
    {
        for (Watch &watch : this->watches)
            watch.isLost = true;
    }

    bool silent = false;
    std::size_t calls = 0;
    std::uint64_t revision = 1;

private:
    struct Watch
    {
        std::uint64_t revision = 0;
        bool isLost = false;
        PageCallback callback;
        EventLoop::TimerHandle timeout;
    };

    CollectionStore::PageResult pageAfter(std::uint64_t known) const
    {
        CollectionPage page;
        page.revision = this->revision;
        if (this->revision > known)
            page.objects.push_back({"main", this->revision, false, "text"});
        return page;
    }

    void end(Watch &watch, const CollectionStore::PageResult &result)
    {
        if (!watch.callback)
            return;
        const PageCallback callback = std::exchange(watch.callback, nullptr);
        callback(result);
    }

    void after(Duration delay, EventLoop::Callback callback)
    {
        this->timers.push_back(this->loop.after(delay, std::move(callback)));
    }

    EventLoop &loop;
    std::list<Watch> watches;
    std::list<EventLoop::TimerHandle> timers;
};

/// A host whose turn among the watching hosts comes late, as if the others were out of touch.
struct LateTurnFixture
{
    LateTurnFixture()
    {
        this->feed.setWatching(WatchTurn{8, 9});
        this->feed.start();
        REQUIRE(this->becomesTrue([this] { return this->known == this->store.revision; },
                                  seconds(2)));
        this->runFor(milliseconds(400));
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

    void runFor(Duration time)
    {
        this->becomesTrue([] { return false; }, time);
    }

    /// Returns true if a change of the store is in force in time.
    bool followsChange()
    {
        this->store.change();
        return this->becomesTrue([this] { return this->known == this->store.revision; },
                                 ApplyLimit);
    }

    EventLoop loop;
    NullEventLog log;
    NullMetrics metrics;
    SeededRandom random{1};
    SilentStore store{this->loop};
    std::uint64_t known = 0;
    CollectionFeed feed{this->loop,
                        this->store,
                        Collection::Servers,
                        this->random,
                        [this](const std::vector<CollectionObject> &objects,
                               const CollectionFeed::ChangeContext & /*context*/) {
                            this->known = objects.back().revision;
                        },
                        [](const ObjectAnnouncement & /*announcement*/) {},
                        {[] {}, [](std::uint64_t /*era*/) {}},
                        this->metrics,
                        this->log};
};

} // namespace

// Guards against a revoked key that stays in force: the watch was lost in a silent store.
TEST_CASE("A watch that was sent to a silent store was missed only at the end of its turn",
          "[EntryHost][SilentStore]")
{
    LateTurnFixture fixture;

    SECTION("after its watches were closed, the store is silent for a while")
    {
        fixture.store.silent = true;
        fixture.store.closeWatches();
        fixture.runFor(milliseconds(1'500));
        fixture.store.silent = false;
        CHECK(fixture.followsChange());
    }
    SECTION("a watch is renewed while the store is silent")
    {
        fixture.store.silent = true;
        fixture.store.loseWatches();
        fixture.feed.renewWatch("test");
        fixture.runFor(milliseconds(1'500));
        fixture.store.silent = false;
        CHECK(fixture.followsChange());
    }
    SECTION("a store that answers gets no more than one further call")
    {
        const std::size_t before = fixture.store.calls;
        fixture.store.closeWatches();
        fixture.runFor(seconds(2));
        CHECK(fixture.store.calls <= before + 2);
        CHECK(fixture.followsChange());
    }
    SECTION("a store that stays silent gets about one call a second")
    {
        const std::size_t before = fixture.store.calls;
        fixture.store.silent = true;
        fixture.store.closeWatches();
        fixture.runFor(seconds(5));
        CHECK(fixture.store.calls <= before + 8);
    }
}
