#include "protocol/engine_memory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::int64_t MaxDurationMs = 1'000'000'000'000;

Duration parseMilliseconds(const nlohmann::json &json)
{
    const std::int64_t durationMs = json.get<std::int64_t>();
    return std::chrono::milliseconds(std::clamp<std::int64_t>(durationMs, 0, MaxDurationMs));
}

} // namespace

tl::expected<std::vector<EngineAllocation>, std::string> decodeAllocations(const std::string &text)
{
    std::vector<EngineAllocation> allocations;
    try {
        for (const nlohmann::json &item : nlohmann::json::parse(text)) {
            EngineAllocation allocation;
            allocation.id = item.at("id").get<AllocationId>();
            allocation.host = item.at("host").get<HostId>();
            allocation.incarnation = item.at("incarnation").get<Incarnation>();
            allocation.request = item.at("request").get<RequestId>();
            allocation.tokens = item.at("tokens").get<std::uint64_t>();
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
