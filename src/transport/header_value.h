#pragma once

#include <string_view>

namespace dotterel {

/// Returns true if \a value has no control character other than tab. A control character may end a
/// value early for some readers (RFC 9110, 5.5).
bool isHeaderValue(std::string_view value);

} // namespace dotterel
