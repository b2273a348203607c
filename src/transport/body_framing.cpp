#include "transport/body_framing.h"

#include "core/enum_names.h"
#include "transport/http_message_parser.h"

namespace dotterel {

namespace {

constexpr std::array<EnumName<BodyFraming>, 4> BodyFramingNames = {{
        {BodyFraming::Bodiless, "bodiless"},
        {BodyFraming::Length, "length"},
        {BodyFraming::Chunks, "chunks"},
        {BodyFraming::Connection, "connection"},
}};

} // namespace

BodyFraming bodyFraming(int status, const HttpHeaders &headers)
{
    if (isBodilessStatus(status))
        return BodyFraming::Bodiless;
    if (findHeader(headers, "Transfer-Encoding") != nullptr)
        return BodyFraming::Chunks;
    return findHeader(headers, "Content-Length") != nullptr ? BodyFraming::Length
                                                            : BodyFraming::Connection;
}

std::string_view bodyFramingName(BodyFraming framing)
{
    return enumName(BodyFramingNames, framing);
}

} // namespace dotterel
