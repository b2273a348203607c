#include "gateway/stream_end.h"

#include "core/enum_names.h"

namespace dotterel {

namespace {

constexpr std::array<EnumName<StreamEnd>, 3> StreamEndNames = {{
        {StreamEnd::Complete, "complete"},
        {StreamEnd::InsideEvent, "inside_event"},
        {StreamEnd::BeforeEvent, "before_event"},
}};

} // namespace

StreamEnd judgeStreamEnd(const StreamProgress &progress)
{
    if (progress.insideEvent)
        return StreamEnd::InsideEvent;
    if (progress.hasNewEvents)
        return StreamEnd::Complete;
    if (progress.endsBeforeResume)
        return StreamEnd::BeforeEvent;
    // No run of a stream that has begun answers without a body; it would have ended the stream.
    if (progress.continuesResponse && progress.framing == BodyFraming::Bodiless)
        return StreamEnd::BeforeEvent;
    // Only a server that marks the end of its body can say that a resumed stream has nothing left.
    if (progress.framing == BodyFraming::Connection)
        return StreamEnd::BeforeEvent;
    return StreamEnd::Complete;
}

std::string_view streamEndName(StreamEnd end)
{
    return enumName(StreamEndNames, end);
}

} // namespace dotterel
