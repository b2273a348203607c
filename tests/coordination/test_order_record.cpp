#include "coordination/order_record.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("An order record keeps any answer", "[Coordination][OrderRecord]")
{
    OrderRecord record{"host-1",
                       7,
                       "nonce",
                       "hash",
                       OrderState::Finished,
                       {201, "x/y", std::string{'\xff', '\0', 'z'}}};
    const std::optional<OrderRecord> read = decodeOrderRecord(encodeOrderRecord(record));
    REQUIRE(read);
    CHECK(read->answer.body == record.answer.body);
    CHECK(read->state == OrderState::Finished);
    CHECK_FALSE(decodeOrderRecord("no record"));
    const ServiceAnswer large = recordableAnswer({200, "text/plain", std::string(100'000, 'x')});
    CHECK(large.status == 200);
    CHECK(large.body.size() < 300);
    CHECK(large.body.find("\"bytes\":100000") != std::string::npos);
}
