#pragma once

#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dotterel {

/// Returns \a bytes as UTF-8 in normal form C, with line feeds only and without a byte-order mark.
/// Bytes that are not UTF-8 are taken as Windows-1252. The error is a sentence.
tl::expected<std::string, std::string> decodeSheetText(std::string_view bytes);

/// Reads an ISO 8601 time with its zone, such as "2026-12-03T06:00:00-03:00".
std::optional<WallMilliseconds> parseIsoTime(const std::string &text);

/// Returns \a time as ISO 8601 in UTC.
std::string isoTime(WallMilliseconds time);

} // namespace dotterel
