#include "operator_tools/sheet_merge.h"

#include "state/configuration_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

Configuration encodeConfiguration()
{
    Configuration stored;
    stored.version = 5;
    stored.sheetExportedAt = 100;
    stored.workspaces["salto"] = {"salto", 1, 100};
    stored.workspaces["rivera"] = {"rivera", 1, 100};
    stored.requestClasses["order"] = {"order", fromSeconds(20), false, 100};
    return stored;
}

Sheet sheetOf(WallMilliseconds exportedAt, double saltoShare)
{
    Sheet sheet;
    sheet.exportedAt = exportedAt;
    sheet.workspaces = {{2, "salto", saltoShare}, {3, "rivera", 1}};
    sheet.requestClasses = {{4, "order", fromSeconds(20)}};
    sheet.idempotencyMarks = {{5, "order", false}};
    return sheet;
}

std::string textOf(const Configuration &configuration)
{
    return configurationToJson(configuration).dump();
}

} // namespace

TEST_CASE("A sheet never undoes what was decided after it", "[OperatorTools][SheetMerge]")
{
    Configuration stored = encodeConfiguration();

    SECTION("the same sheet twice is no change")
    {
        const auto first = mergeSheet(stored, sheetOf(200, 3), "s", {});
        REQUIRE(first);
        const auto second = mergeSheet(first->merge.merged, sheetOf(200, 3), "s", {});
        REQUIRE(second);
        CHECK(textOf(second->merge.merged) == textOf(first->merge.merged));
    }
    SECTION("an older sheet is refused as a whole")
    {
        const auto merge = mergeSheet(stored, sheetOf(99, 3), "s", {});
        REQUIRE_FALSE(merge);
        CHECK(merge.error().tooOld);
    }
    SECTION("a change made by hand after the export")
    {
        Configuration changed = stored;
        changed.workspaces["salto"].share = 7;
        stampChanges(stored, changed, 300);
        CHECK(changed.workspaces["salto"].changedAt == 300);
        CHECK(changed.workspaces["rivera"].changedAt == 100);

        SECTION("refuses the sheet and names the row")
        {
            const auto merge = mergeSheet(changed, sheetOf(200, 3), "s", {});
            REQUIRE_FALSE(merge);
            CHECK(merge.error().tooOld);
            CHECK(merge.error().faults.at(0).row == 2);
        }
        SECTION("is kept, and the rest taken, if the operator says so")
        {
            const auto merge =
                    mergeSheet(changed, sheetOf(200, 3), "s", {MissingObjects::Keep, true});
            REQUIRE(merge);
            CHECK(merge->merge.merged.workspaces.at("salto").share == 7);
            CHECK(merge->kept.size() == 1);
        }
        SECTION("gives way to a later sheet")
        {
            const auto merge = mergeSheet(changed, sheetOf(400, 3), "s", {});
            REQUIRE(merge);
            CHECK(merge->merge.merged.workspaces.at("salto").share == 3);
        }
    }
    SECTION("a removal by hand is not undone by a sheet exported before it")
    {
        Configuration changed = stored;
        changed.workspaces.erase("salto");
        stampChanges(stored, changed, 300);
        CHECK_FALSE(mergeSheet(changed, sheetOf(200, 3), "s", {}));
        CHECK(mergeSheet(changed, sheetOf(400, 3), "s", {}));
    }
}

TEST_CASE("A sheet deletes nothing silently", "[OperatorTools][SheetMerge]")
{
    const Configuration stored = encodeConfiguration();
    Sheet sheet = sheetOf(200, 1);
    sheet.workspaces.pop_back();

    SECTION("a missing row keeps the object and is reported")
    {
        const auto merge = mergeSheet(stored, sheet, "s", {});
        REQUIRE(merge);
        CHECK(merge->merge.merged.workspaces.count("rivera") == 1);
        REQUIRE(merge->merge.missing.size() == 1);
        CHECK(merge->merge.missing[0].title() == "workspace rivera");
    }
    SECTION("a removal that was asked for is a listed difference")
    {
        const auto merge = mergeSheet(stored, sheet, "s", {MissingObjects::Remove, false});
        REQUIRE(merge);
        const std::vector<Change> changes = differences(stored, merge->merge.merged);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].text() == "- workspace rivera: share 1");
    }
    SECTION("a missing mark keeps the mark")
    {
        sheet.idempotencyMarks.clear();
        const auto merge = mergeSheet(stored, sheet, "s", {});
        REQUIRE(merge);
        CHECK_FALSE(merge->merge.merged.requestClasses.at("order").idempotent);
    }
    SECTION("a mark of a class that does not exist is a fault with its row")
    {
        sheet.idempotencyMarks.push_back({9, "nobody", false});
        const auto merge = mergeSheet(stored, sheet, "s", {});
        REQUIRE_FALSE(merge);
        CHECK_FALSE(merge.error().tooOld);
        CHECK(merge.error().faults.at(0).row == 9);
    }
}

TEST_CASE("Sheets end in the newest one whatever their order", "[OperatorTools][SheetMerge]")
{
    const bool holds = rc::check([](const std::vector<std::uint8_t> &times) {
        Configuration stored = encodeConfiguration();
        WallMilliseconds newest = stored.sheetExportedAt;
        double share = 1;
        for (const std::uint8_t time : times) {
            const auto merge = mergeSheet(stored, sheetOf(time, time), "s", {});
            RC_ASSERT(merge.has_value() == (time >= newest));
            if (!merge)
                continue;
            stored = merge->merge.merged;
            newest = time;
            share = time;
        }
        RC_ASSERT(stored.workspaces.at("salto").share == share);
    });
    CHECK(holds);
}
