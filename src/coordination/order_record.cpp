#include "coordination/order_record.h"

#include "core/enum_names.h"
#include "core/hashing.h"
#include "protocol/cbor.h"

#include <array>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::array<EnumName<OrderState>, 4> OrderStateNames = {{
        {OrderState::Claimed, "claimed"},
        {OrderState::Finished, "finished"},
        {OrderState::NotRun, "not_run"},
        {OrderState::InDoubt, "in_doubt"},
}};

} // namespace

std::string_view orderStateName(OrderState state)
{
    return enumName(OrderStateNames, state);
}

std::string orderName(const OrderClaim &claim)
{
    return hash128Hex(claim.workspace + '\0' + claim.idempotencyKey);
}

ServiceAnswer recordableAnswer(const ServiceAnswer &answer)
{
    if (answer.body.size() <= MaxRecordedBodyBytes)
        return answer;
    const nlohmann::json note = {{"note", "the order ran; its answer was too long to be recorded"},
                                 {"status", answer.status},
                                 {"content_type", answer.contentType},
                                 {"bytes", answer.body.size()},
                                 {"xxh3_128", hash128Hex(answer.body)}};
    return {answer.status, "application/json", note.dump()};
}

std::string encodeOrderRecord(const OrderRecord &record)
{
    // CBOR can carry arbitrary bytes, whereas JSON text must be valid UTF-8.
    const std::vector<std::uint8_t> body(record.answer.body.begin(), record.answer.body.end());
    const nlohmann::json json = {{"host", record.host},
                                 {"incarnation", record.incarnation},
                                 {"nonce", record.nonce},
                                 {"bodyHash", record.bodyHash},
                                 {"state", orderStateName(record.state)},
                                 {"status", record.answer.status},
                                 {"contentType", record.answer.contentType},
                                 {"body", nlohmann::json::binary(body)}};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::optional<OrderRecord> decodeOrderRecord(std::string_view bytes)
{
    const nlohmann::json json = parseCbor(bytes);
    if (!json.is_object())
        return std::nullopt;
    try {
        const std::optional<OrderState> state =
                enumValue(OrderStateNames, json.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        OrderRecord record;
        record.host = json.at("host").get<HostId>();
        record.incarnation = json.at("incarnation").get<Incarnation>();
        record.nonce = json.at("nonce").get<std::string>();
        record.bodyHash = json.at("bodyHash").get<std::string>();
        record.state = *state;
        record.answer.status = json.at("status").get<int>();
        record.answer.contentType = json.at("contentType").get<std::string>();
        const nlohmann::json::binary_t &body = json.at("body").get_binary();
        record.answer.body.assign(body.begin(), body.end());
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace dotterel
