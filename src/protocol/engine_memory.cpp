#include "protocol/engine_memory.h"

#include "core/json_input.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::int64_t MaxDurationMs = 1'000'000'000'000;

Duration parseMilliseconds(const nlohmann::json &json)
{
    if (!json.is_number_integer())
        throw nlohmann::json::other_error::create(501, "duration is no integer", &json);
    if (json.is_number_unsigned())
        return std::chrono::milliseconds(
                std::min<std::uint64_t>(json.get<std::uint64_t>(), MaxDurationMs));
    return Duration::zero();
}

} // namespace

tl::expected<std::vector<EngineAllocation>, std::string> decodeAllocations(const std::string &text)
{
    std::vector<EngineAllocation> allocations;
    try {
        const nlohmann::json items = parseJsonOrDiscard(text);
        if (!items.is_array())
            return tl::unexpected(std::string("the allocations are not a JSON array"));
        for (const nlohmann::json &item : items) {
            EngineAllocation allocation;
            allocation.id = item.at("id").get<AllocationId>();
            allocation.host = item.at("host").get<HostId>();
            allocation.incarnation = item.at("incarnation").get<Incarnation>();
            allocation.request = item.at("request").get<RequestId>();
            allocation.tokens = toUnsigned<std::uint64_t>(item.at("tokens"));
            allocation.age = parseMilliseconds(item.at("age_ms"));
            allocation.timeToLive = parseMilliseconds(item.at("time_to_live_ms"));
            allocations.push_back(allocation);
        }
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
    return allocations;
}

std::string encodeReservation(const EngineAllocation &allocation)
{
    const auto timeToLive =
            std::chrono::duration_cast<std::chrono::milliseconds>(allocation.timeToLive);
    const nlohmann::json json = {{"host", allocation.host},
                                 {"incarnation", allocation.incarnation},
                                 {"request", allocation.request},
                                 {"tokens", allocation.tokens},
                                 {"time_to_live_ms", timeToLive.count()}};
    return json.dump();
}

} // namespace dotterel
