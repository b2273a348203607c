#pragma once

#include "transport/body_framing.h"

#include <string_view>

namespace dotterel {

/// What the end of a stream whose framing is whole means for its caller.
enum class StreamEnd {
    Complete,
    InsideEvent, ///< An event has begun and did not end.
    BeforeEvent, ///< No event came that the caller lacks, and nothing says that there is none.
};

/// How far a stream came when its body ended as its framing says.
struct StreamProgress
{
    BodyFraming framing = BodyFraming::Connection;
    bool insideEvent = false;
    bool hasNewEvents = false;      ///< The server sent an event that the caller lacks.
    bool endsBeforeResume = false;  ///< It began anew and did not reach the caller's last event.
    bool continuesResponse = false; ///< The caller has the head of an earlier run's response.
};

/// Decides whether a stream is complete. Framing does not prove it: a server that breaks off in the
/// middle of an event may still end its connection in order, send its last chunk or reach its
/// length. The connection of a server that crashes may end in order as well.
StreamEnd judgeStreamEnd(const StreamProgress &progress);

/// Returns the external name of \a end.
std::string_view streamEndName(StreamEnd end);

} // namespace dotterel
