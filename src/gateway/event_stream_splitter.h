#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// One complete event of a `text/event-stream`.
struct StreamEvent
{
    std::string bytes;               ///< Including the blank line that ends it.
    std::optional<std::uint64_t> id; ///< Value of the `id` field, if it is a number.
};

/// Splits a `text/event-stream` into complete events. Only complete events are forwarded, so that
/// an interrupted stream can be resumed at another server without a truncated event. Lines may end
/// with LF, CRLF or CR (HTML Living Standard, section 9.2.5).
class EventStreamSplitter
{
public:
    /// Appends \a bytes and returns the events that are complete now.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Returns true if an event or a comment has begun and its blank line is missing. Blank lines
    /// after an event belong to no event.
    bool isInsideEvent() const { return this->eventHasLines || !this->lineIsEmpty; }

    /// Returns the bytes received after the last complete event.
    const std::string &remainder() const { return this->buffer; }

private:
    /// Ends the current line; returns true if that ends an event.
    bool endLine();

    std::string buffer;
    std::size_t scannedBytes = 0; ///< Bytes of the buffer whose line ends are known.
    bool eventHasLines = false;   ///< The current event has a line that is not blank.
    bool lineIsEmpty = true;      ///< No byte of the current line was received.
    bool afterCr = false;         ///< The previous byte was a CR.
    bool crEndsLine = false;      ///< A CR was seen that no LF followed.
};

} // namespace dotterel
