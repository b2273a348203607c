// What the platform's store keeps of suspects of crashes.

#include "gateway/crash_suspect_entries.h"
#include "gateway/crash_suspect_keeper.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr WallMilliseconds WallTime = 1'800'000'000'000;

CrashNotice suspectWith(std::size_t crashes)
{
    CrashNotice notice;
    notice.subject = CrashSubject::PromptPart;
    notice.fingerprint = "0123456789abcdef";
    for (std::size_t number = 0; number < crashes; ++number)
        notice.crashes.push_back({"engine-" + std::to_string(number), seconds(10 - number), 2});
    return notice;
}

/// A keeper whose host writes all entries, and the store as far as it acknowledges writes.
struct KeeperBench
{
    std::vector<CrashSuspectKeeper::Change> takeDue(const std::vector<CrashNotice> &suspects,
                                                    bool isOwnTask = true)
    {
        return this->keeper.takeDue(
                suspects, [isOwnTask](const std::string & /*name*/) { return isOwnTask; },
                this->now);
    }

    /// Takes the due changes and acknowledges them. Returns their number.
    std::size_t store(const std::vector<CrashNotice> &suspects, bool succeeds = true)
    {
        const auto changes = this->takeDue(suspects);
        for (const CrashSuspectKeeper::Change &change : changes)
            this->keeper.onWritten(change.name, succeeds, this->now);
        return changes.size();
    }

    CrashSuspectKeeper keeper{CrashSuspectKeeping{}};
    TimePoint now{seconds(100)};
};

} // namespace

TEST_CASE("Suspects of crashes are written to the store and removed from it",
          "[Gateway][CrashSuspectKeeper]")
{
    KeeperBench bench;
    const std::string name = crashSuspectName(suspectWith(1));

    SECTION("one crash is not kept")
    {
        CHECK(bench.store({suspectWith(1)}) == 0);
        bench.now += minutes(1);
        CHECK(bench.store({suspectWith(1)}) == 0);
        CHECK(bench.keeper.empty());
    }
    SECTION("two crashes are written if the suspect is not cleared within a second")
    {
        CHECK(bench.store({suspectWith(2)}) == 0);
        SECTION("cleared, nothing is called")
        {
            bench.now += milliseconds(500);
            CHECK(bench.store({}) == 0);
            bench.now += seconds(2);
            CHECK(bench.store({}) == 0);
        }
        SECTION("not cleared, it is written once")
        {
            bench.now += seconds(1);
            CHECK(bench.store({suspectWith(2)}) == 1);
            CHECK(bench.store({suspectWith(2)}) == 0);
        }
    }
    SECTION("the third crash is written at once, and each further one")
    {
        const auto changes = bench.takeDue({suspectWith(3)});
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].name == name);
        REQUIRE(changes[0].suspect);
        CHECK(changes[0].suspect->crashes.size() == 3);
        SECTION("also one that comes while the call is running")
        {
            CHECK(bench.takeDue({suspectWith(4)}).empty());
            bench.keeper.onWritten(name, true, bench.now);
            CHECK(bench.store({suspectWith(4)}) == 1);
            CHECK(bench.store({suspectWith(4)}) == 0);
        }
    }
    SECTION("a call that failed is repeated with a growing back-off")
    {
        CHECK(bench.store({suspectWith(3)}, false) == 1);
        std::size_t calls = 0;
        for (int tick = 0; tick < 300; ++tick) {
            bench.now += milliseconds(100);
            calls += bench.store({suspectWith(3)}, false);
        }
        CHECK(calls >= 5);
        CHECK(calls <= 8);
        bench.now += seconds(8);
        CHECK(bench.store({suspectWith(3)}) == 1);
        CHECK(bench.store({suspectWith(3)}) == 0);
    }
    SECTION("a suspect that was cleared is removed, also if the removal has to be repeated")
    {
        CHECK(bench.store({suspectWith(3)}) == 1);
        const auto removal = bench.takeDue({});
        REQUIRE(removal.size() == 1);
        CHECK_FALSE(removal[0].suspect);
        bench.keeper.onWritten(name, false, bench.now);
        bench.now += seconds(1);
        CHECK(bench.store({}) == 1);
        CHECK(bench.store({}) == 0);
        bench.now += minutes(1);
        CHECK(bench.store({}) == 0);
        CHECK(bench.keeper.empty());
    }
}

TEST_CASE("Several hosts share the work of keeping suspects", "[Gateway][CrashSuspectKeeper]")
{
    KeeperBench bench;
    SECTION("a host that others write for makes no call")
    {
        CHECK(bench.takeDue({suspectWith(3)}, false).empty());
        SECTION("unless the task becomes its own shortly after")
        {
            bench.now += seconds(4);
            CHECK(bench.store({suspectWith(3)}) == 1);
        }
        SECTION("later it takes the entry for written")
        {
            bench.now += seconds(10);
            CHECK(bench.takeDue({suspectWith(3)}, false).empty());
            CHECK(bench.store({suspectWith(3)}) == 0);
            CHECK(bench.store({suspectWith(4)}) == 1);
        }
    }
    SECTION("an entry that was listed at the start is not written again")
    {
        bench.keeper.onListed(suspectWith(3), bench.now);
        CHECK(bench.store({suspectWith(3)}) == 0);
        CHECK(bench.store({suspectWith(4)}) == 1);
    }
    SECTION("a listed entry of which nothing is suspected any more is removed")
    {
        bench.keeper.onListed(suspectWith(3), bench.now);
        const auto removal = bench.takeDue({});
        REQUIRE(removal.size() == 1);
        CHECK_FALSE(removal[0].suspect);
    }
}

TEST_CASE("A store that comes back from an older copy gets all suspects again",
          "[Gateway][CrashSuspectKeeper]")
{
    KeeperBench bench;
    const std::string name = crashSuspectName(suspectWith(1));
    SECTION("what was written is written again")
    {
        CHECK(bench.store({suspectWith(3)}) == 1);
        bench.keeper.onStoreRestored(bench.now);
        CHECK(bench.store({suspectWith(3)}) == 1);
        CHECK(bench.store({suspectWith(3)}) == 0);
    }
    SECTION("so is what an earlier store acknowledges only now")
    {
        CHECK(bench.takeDue({suspectWith(3)}).size() == 1);
        bench.keeper.onStoreRestored(bench.now);
        bench.keeper.onWritten(name, true, bench.now);
        CHECK(bench.store({suspectWith(3)}) == 1);
    }
    SECTION("what was removed in the last minute is removed again")
    {
        CHECK(bench.store({suspectWith(3)}) == 1);
        CHECK(bench.store({}) == 1);
        bench.now += seconds(30);
        CHECK(bench.store({}) == 0);
        bench.keeper.onStoreRestored(bench.now);
        const auto removal = bench.takeDue({});
        REQUIRE(removal.size() == 1);
        CHECK_FALSE(removal[0].suspect);
    }
}

TEST_CASE("Entries of suspects carry their crashes from one start of the fleet to the next",
          "[Gateway][CrashSuspectEntries]")
{
    CrashNotice notice = suspectWith(3);
    notice.sinceCompletion = minutes(2);
    const std::string name = crashSuspectName(notice);
    const std::string text = encodeCrashSuspect(notice, WallTime);

    SECTION("ages grow with the time of day")
    {
        const auto read = decodeCrashSuspect(name, text, WallTime + 5'000);
        REQUIRE(read);
        CHECK(read->subject == CrashSubject::PromptPart);
        CHECK(read->fingerprint == notice.fingerprint);
        REQUIRE(read->crashes.size() == 3);
        CHECK(read->crashes[0].server == "engine-0");
        CHECK(read->crashes[0].age == seconds(15));
        CHECK(read->crashes[0].weight == 2);
        CHECK(read->sinceCompletion == Duration(minutes(2)) + seconds(5));
    }
    SECTION("no age is negative where the time of day has jumped back")
    {
        const auto read = decodeCrashSuspect(name, text, WallTime - 3'600'000);
        REQUIRE(read);
        CHECK(read->crashes[2].age == Duration::zero());
    }
    SECTION("entries of other writers are no suspects")
    {
        const auto changed = [&text](const std::string &field, const nlohmann::json &value) {
            nlohmann::json entry = nlohmann::json::parse(text);
            entry[field] = value;
            return entry.dump();
        };
        const nlohmann::json crash = {{"server", "s"}, {"at_ms", 1}, {"weight", 1}};
        for (const std::string &odd :
             {std::string(), std::string("{}"), std::string("[]"), std::string("null"),
              std::string(100'000, '['), changed("subject", "other"), changed("subject", 1),
              changed("fingerprint", "of another suspect"),
              changed("fingerprint", std::string(1'000, 'f')), changed("crashes", nullptr),
              changed("crashes", {{"server", "s"}}), changed("crashes", {{crash, {}}}),
              changed("crashes", std::vector<nlohmann::json>(9, crash)),
              changed("crashes", {{{"server", ""}, {"at_ms", 1}, {"weight", 1}}}),
              changed("crashes", {{{"server", "s"}, {"at_ms", -1}, {"weight", 1}}}),
              changed("crashes", {{{"server", "s"}, {"at_ms", 1}, {"weight", 1e300}}}),
              changed("completed_at_ms", "long ago")}) {
            CAPTURE(odd.substr(0, 200));
            CHECK_FALSE(decodeCrashSuspect(name, odd, WallTime));
        }
        CHECK(decodeCrashSuspect(name, changed("of_a_later_version", 1), WallTime));
    }
}
