#include "protocol/engine_stream.h"

#include "core/json_input.h"
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::string_view DataPrefix = "data: ";
constexpr std::size_t MaxLineBytes = 64UL * 1024;

tl::expected<EngineEvent, std::string> parseEvent(std::string_view text)
{
    const nlohmann::json json = parseJsonOrDiscard(text);
    if (!json.is_object())
        return tl::unexpected(std::string("the event data is not a JSON object"));
    try {
        const AttemptId attempt = json.at("attempt").get<std::string>();
        if (json.value("end", false))
            return AnswerEnd{attempt, toUnsigned<std::uint64_t>(json.at("count"))};
        return AnswerToken{attempt, toUnsigned<std::uint64_t>(json.at("index")),
                           json.at("text").get<std::string>()};
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace

tl::expected<std::vector<EngineEvent>, std::string>
EngineStreamDecoder::feed(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::vector<EngineEvent> events;
    std::size_t lineStart = 0;
    for (std::size_t lineEnd = this->buffer.find('\n'); lineEnd != std::string::npos;
         lineEnd = this->buffer.find('\n', lineStart)) {
        const std::string_view line(this->buffer.data() + lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 1;
        if (line.substr(0, DataPrefix.size()) != DataPrefix)
            continue;
        const tl::expected<EngineEvent, std::string> event =
                parseEvent(line.substr(DataPrefix.size()));
        if (!event)
            return tl::unexpected(event.error());
        events.push_back(*event);
    }
    this->buffer.erase(0, lineStart);
    if (this->buffer.size() > MaxLineBytes)
        return tl::unexpected(std::string("a line exceeds the length limit"));
    return events;
}

std::string encodeEngineEvent(const EngineEvent &event)
{
    nlohmann::json json;
    if (const AnswerToken *token = std::get_if<AnswerToken>(&event)) {
        json = {{"attempt", token->attempt}, {"index", token->index}, {"text", token->text}};
    } else {
        const AnswerEnd &endMarker = std::get<AnswerEnd>(event);
        json = {{"attempt", endMarker.attempt}, {"end", true}, {"count", endMarker.count}};
    }
    return std::string(DataPrefix)
           + json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

} // namespace dotterel
