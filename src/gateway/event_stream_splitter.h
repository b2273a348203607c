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
/// an interrupted stream can be resumed at another server without a truncated event.
class EventStreamSplitter
{
public:
    /// Appends \a bytes and returns the events that are complete now.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Returns the bytes received so far of an event that is not complete yet.
    const std::string &incompleteEvent() const { return this->buffer; }

private:
    std::string buffer;
};

} // namespace dotterel
