#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// One whole event of a `text/event-stream`.
struct StreamEvent
{
    std::string bytes; ///< With the blank line that ends it.
    std::optional<std::uint64_t> id;
};

/// Cuts a stream into whole events, so that a stream which breaks off in the middle of one can go
/// on at another server without a torn event. Pure.
class EventStreamSplitter
{
public:
    /// Takes \a bytes and returns the events that are whole now.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Bytes of an event that has not ended.
    const std::string &rest() const { return this->pending; }

private:
    std::string pending;
};

} // namespace dotterel
