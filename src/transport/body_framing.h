#pragma once

#include "transport/http_server.h"

#include <string_view>

namespace dotterel {

/// How the end of a response body is marked (RFC 9112, section 6.3).
enum class BodyFraming {
    Bodiless,   ///< The status allows no body.
    Length,     ///< Content-Length.
    Chunks,     ///< Chunked transfer encoding; the last chunk ends the body.
    Connection, ///< Nothing but the end of the connection.
};

/// Returns the framing of the body of a response with \a status and \a headers.
BodyFraming bodyFraming(int status, const HttpHeaders &headers);

/// Returns the external name of \a framing.
std::string_view bodyFramingName(BodyFraming framing);

} // namespace dotterel
