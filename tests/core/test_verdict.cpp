#include "core/verdict.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("The verdict decides whether a request may be retried", "[Core][Verdict]")
{
    SECTION("every reason is found by enumerator and by name")
    {
        for (const ReasonInfo &info : reasonTable()) {
            CHECK(reasonInfo(info.reason).name == info.name);
            CHECK(reasonFromName(info.name) == info.reason);
        }
    }
    SECTION("an order")
    {
        SECTION("that was not run may be retried")
        {
            CHECK(Failure{Verdict::NotRun, Reason::BackendRefused, "", {}}.isSafeToRetry(false));
        }
        SECTION("that may have run may not be retried")
        {
            CHECK_FALSE(Failure{Verdict::MayHaveRun, Reason::BackendFailed, "", {}}.isSafeToRetry(
                    false));
        }
    }
    SECTION("an idempotent request may always be retried")
    {
        CHECK(Failure{Verdict::MayHaveRun, Reason::BackendFailed, "", {}}.isSafeToRetry(true));
    }
}
