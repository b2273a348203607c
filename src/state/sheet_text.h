#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dotterel {

/// Converts \a bytes to UTF-8 in normalization form C, with line feeds only and without a
/// byte-order mark. Bytes that are not valid UTF-8 are decoded as Windows-1252. The error is a
/// message that follows the file name.
tl::expected<std::string, std::string> decodeSheetText(std::string_view bytes);

/// Parses an ISO 8601 time with a time zone, such as "2026-12-03T06:00:00-03:00".
std::optional<WallMilliseconds> parseIsoTime(const std::string &text);

/// Formats \a time as ISO 8601 in UTC.
std::string formatIsoTime(WallMilliseconds time);

} // namespace dotterel
