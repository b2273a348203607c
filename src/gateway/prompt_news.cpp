#include "gateway/prompt_news.h"

#include "core/hashing.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::int64_t MicrosecondsPerMs = 1'000;
constexpr double ValueScale = 1'000.0;
constexpr std::size_t MaxUpdates = 1'000;

std::int64_t toMs(Duration duration)
{
    return duration.count() / MicrosecondsPerMs;
}

Duration durationFromMs(const nlohmann::json &json)
{
    return std::chrono::milliseconds(json.get<std::int64_t>());
}

nlohmann::json encodeUpdate(const PromptNewsItem &item)
{
    nlohmann::json row = {static_cast<int>(item.step), item.sequence};
    if (item.step == PromptStep::Ended)
        return row;
    row.push_back(item.server);
    if (item.step != PromptStep::Dispatched)
        return row;
    const PromptDemand &demand = item.demand;
    row.insert(row.end(),
               {demand.promptTokens, demand.outputTokens, toMs(demand.firstEventTarget),
                toMs(demand.maxEventGap), toMs(demand.elapsed), toMs(demand.callerTimeLeft),
                static_cast<std::int64_t>(demand.value * ValueScale)});
    for (std::size_t index = 0; index < item.helpers.size(); ++index) {
        row.push_back(item.helpers[index]);
        row.push_back(item.helperMemory.at(index));
    }
    return row;
}

PromptNewsItem decodeUpdate(const nlohmann::json &row)
{
    PromptNewsItem item;
    const int step = row.at(0).get<int>();
    if (step < 0 || step > static_cast<int>(PromptStep::Unanswered))
        throw nlohmann::json::other_error::create(501, "unknown prompt state", &row);
    item.step = static_cast<PromptStep>(step);
    item.sequence = row.at(1).get<std::uint64_t>();
    if (item.step == PromptStep::Ended)
        return item;
    std::size_t column = 2;
    item.server = row.at(column++).get<std::uint32_t>();
    if (item.step != PromptStep::Dispatched)
        return item;
    item.demand.promptTokens = row.at(column++).get<std::uint64_t>();
    item.demand.outputTokens = row.at(column++).get<std::uint64_t>();
    item.demand.firstEventTarget = durationFromMs(row.at(column++));
    item.demand.maxEventGap = durationFromMs(row.at(column++));
    item.demand.elapsed = durationFromMs(row.at(column++));
    item.demand.callerTimeLeft = durationFromMs(row.at(column++));
    item.demand.value = row.at(column++).get<double>() / ValueScale;
    while (column < row.size()) {
        item.helpers.push_back(row.at(column++).get<std::uint32_t>());
        item.helperMemory.push_back(row.at(column++).get<std::uint64_t>());
    }
    return item;
}

} // namespace

std::uint32_t promptSender(const HostIdentity &identity)
{
    return hash32(identity.host + "/" + std::to_string(identity.incarnation));
}

std::string encodePromptNews(const PromptNews &news)
{
    nlohmann::json items = nlohmann::json::array();
    for (const PromptNewsItem &item : news.items)
        items.push_back(encodeUpdate(item));
    const nlohmann::json json = {news.sender, std::move(items)};
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

tl::expected<PromptNews, std::string> decodePromptNews(std::string_view bytes)
{
    const nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
    if (!json.is_array())
        return tl::unexpected(std::string("the datagram is not a CBOR array"));
    try {
        PromptNews news;
        news.sender = json.at(0).get<std::uint32_t>();
        if (json.at(1).size() > MaxUpdates)
            return tl::unexpected(std::string("the datagram has more than 1000 items"));
        for (const nlohmann::json &row : json.at(1))
            news.items.push_back(decodeUpdate(row));
        return news;
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
