#include "gateway/event_stream_splitter.h"

#include <charconv>

namespace dotterel {

namespace {

/// Returns the value of field `id` of an event, if it has one that is a number.
std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = event.find('\n', begin);
        std::string_view line = event.substr(begin, end - begin);
        if (line.substr(0, Field.size()) == Field) {
            line.remove_prefix(Field.size());
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
            if (result.ec == std::errc())
                return id;
        }
        if (end == std::string_view::npos)
            break;
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<StreamEvent> EventStreamSplitter::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    this->pending.append(bytes);
    std::size_t begin = 0;
    while (true) {
        const std::size_t lineEnd = this->pending.find("\n\n", begin);
        const std::size_t crlfEnd = this->pending.find("\n\r\n", begin);
        std::size_t end = std::string::npos;
        if (lineEnd != std::string::npos)
            end = lineEnd + 2;
        if (crlfEnd != std::string::npos && (end == std::string::npos || crlfEnd + 3 < end))
            end = crlfEnd + 3;
        if (end == std::string::npos)
            break;
        StreamEvent event;
        event.bytes = this->pending.substr(begin, end - begin);
        event.id = idOf(event.bytes);
        events.push_back(std::move(event));
        begin = end;
    }
    this->pending.erase(0, begin);
    return events;
}

} // namespace dotterel
