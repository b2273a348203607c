#include "gateway/event_stream_splitter.h"

#include <charconv>

namespace dotterel {

namespace {

/// Returns the value of the `id` field of an event; nullopt if it is missing or not a number.
std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    std::size_t start = 0;
    while (start < event.size()) {
        const std::size_t end = event.find('\n', start);
        std::string_view line = event.substr(start, end - start);
        if (line.substr(0, IdField.size()) == IdField) {
            line.remove_prefix(IdField.size());
            if (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
            if (result.ec == std::errc())
                return id;
        }
        if (end == std::string_view::npos)
            break;
        start = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<StreamEvent> EventStreamSplitter::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    this->buffer.append(bytes);
    std::size_t start = 0;
    while (true) {
        const std::size_t lfEnd = this->buffer.find("\n\n", start);
        const std::size_t crlfEnd = this->buffer.find("\n\r\n", start);
        std::size_t end = std::string::npos;
        if (lfEnd != std::string::npos)
            end = lfEnd + 2;
        if (crlfEnd != std::string::npos && (end == std::string::npos || crlfEnd + 3 < end))
            end = crlfEnd + 3;
        if (end == std::string::npos)
            break;
        StreamEvent event;
        event.bytes = this->buffer.substr(start, end - start);
        event.id = eventId(event.bytes);
        events.push_back(std::move(event));
        start = end;
    }
    this->buffer.erase(0, start);
    return events;
}

} // namespace dotterel
