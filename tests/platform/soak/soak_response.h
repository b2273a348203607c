#pragma once

#include "core/random_source.h"
#include "transport/body_framing.h"
#include "transport/http_server.h"

#include <string>
#include <vector>

namespace dotterel::soak {

/// How a SoakServer breaks a response off.
enum class ResponseBreak {
    None,
    InOrder, ///< The connection ends in order; a torn stream may even have whole framing.
    Reset,   ///< The connection is reset.
};

/// One response, as the pieces that are written to the socket one after the other.
struct SoakResponse
{
    std::vector<std::string> pieces; ///< The head comes with the first one.
    bool endsConnection = false;     ///< The connection ends after the last piece.
    bool resets = false;             ///< It is reset instead.
};

/// Draws a framing and, with \a wantedBreak, the byte at which the response breaks off, and encodes
/// the body \a parts. Only breaks that a gateway can recognize are drawn: inside an event for
/// streams, and for other responses never where only the end of the connection marks the end.
SoakResponse makeSoakResponse(const HttpHeaders &headers, const std::vector<std::string> &parts,
                              bool isStream, ResponseBreak wantedBreak, RandomSource &random);

} // namespace dotterel::soak
