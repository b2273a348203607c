#include "gateway/event_stream_splitter.h"

#include <charconv>
#include <utility>

namespace dotterel {

namespace {

/// Returns the value of the `id` field of an event; nullopt if it is missing or not a number.
std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    std::size_t start = 0;
    while (start < event.size()) {
        const std::size_t end = event.find_first_of("\r\n", start);
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

bool EventStreamSplitter::endLine()
{
    const bool endsEvent = this->lineIsEmpty && this->eventHasLines;
    this->eventHasLines = !this->lineIsEmpty;
    this->lineIsEmpty = true;
    return endsEvent;
}

std::vector<StreamEvent> EventStreamSplitter::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    std::size_t eventStart = 0;
    const auto endLineAt = [this, &events, &eventStart](std::size_t end) {
        if (!this->endLine())
            return;
        std::string event = this->buffer.substr(eventStart, end - eventStart);
        const std::optional<std::uint64_t> id = eventId(event);
        events.push_back({std::move(event), id});
        eventStart = end;
    };
    this->buffer.append(bytes);
    for (; this->scannedBytes < this->buffer.size(); ++this->scannedBytes) {
        const char byte = this->buffer[this->scannedBytes];
        const bool followsCr = std::exchange(this->afterCr, byte == '\r');
        if (followsCr && !this->crEndsLine && byte != '\n') {
            this->crEndsLine = true;
            endLineAt(this->scannedBytes);
        }
        // The LF of a CRLF whose CR has ended the line already.
        if (followsCr && this->crEndsLine && byte == '\n')
            continue;
        if (byte == '\n' || (byte == '\r' && this->crEndsLine))
            endLineAt(this->scannedBytes + 1);
        else if (byte != '\r')
            this->lineIsEmpty = false;
    }
    this->buffer.erase(0, eventStart);
    this->scannedBytes -= eventStart;
    return events;
}

} // namespace dotterel
