#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dotterel {

/// Reads the file \a path of at most \a maxBytes bytes. The error message continues a sentence that
/// begins with the file name.
tl::expected<std::string, std::string> readTextFile(const std::string &path, std::size_t maxBytes);

/// Returns true if \a bytes is well-formed UTF-8.
bool isUtf8(std::string_view bytes);

} // namespace dotterel
