#include "coordination/order_record.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("An order record preserves binary answers and summarizes large ones",
          "[Coordination][OrderRecord]")
{
    OrderRecord record{"host-1",
                       7,
                       "nonce",
                       "hash",
                       OrderState::Finished,
                       {201, "x/y", std::string{'\xff', '\0', 'z'}}};
    const std::optional<OrderRecord> decoded = decodeOrderRecord(encodeOrderRecord(record));
    REQUIRE(decoded);
    CHECK(decoded->answer.body == record.answer.body);
    CHECK(decoded->state == OrderState::Finished);
    CHECK_FALSE(decodeOrderRecord("no record"));
    const ServiceAnswer summarized =
            recordableAnswer({200, "text/plain", std::string(100'000, 'x')});
    CHECK(summarized.status == 200);
    CHECK(summarized.body.size() < 300);
    CHECK(summarized.body.find("\"bytes\":100000") != std::string::npos);
}
