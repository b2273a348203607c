#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dotterel {

/// Reads the file \a path, which must have at most \a mostBytes bytes. The error is a sentence that
/// follows the name of the file.
tl::expected<std::string, std::string> readTextFile(const std::string &path, std::size_t mostBytes);

/// Returns true if \a bytes are well-formed UTF-8.
bool isUtf8(std::string_view bytes);

} // namespace dotterel
