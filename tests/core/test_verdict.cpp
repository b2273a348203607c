#include "core/verdict.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("Verdicts decide whether a request may run again", "[Core][Verdict]")
{
    SECTION("every reason has a row at its own place in the table")
    {
        for (const ReasonInfo &info : reasonTable()) {
            CHECK(reasonInfo(info.reason).name == info.name);
            CHECK(reasonFromName(info.name) == info.reason);
        }
    }
    SECTION("an order")
    {
        SECTION("that was not run may run again")
        {
            CHECK(Failure{Verdict::NotRun, Reason::BackendRefused, "", {}}.mayRunAgain(false));
        }
        SECTION("that may have run may not")
        {
            CHECK_FALSE(
                    Failure{Verdict::MayHaveRun, Reason::BackendFailed, "", {}}.mayRunAgain(false));
        }
    }
    SECTION("an idempotent request may always run again")
    {
        CHECK(Failure{Verdict::MayHaveRun, Reason::BackendFailed, "", {}}.mayRunAgain(true));
    }
}
