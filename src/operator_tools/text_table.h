#pragma once

#include <string>
#include <vector>

namespace dotterel {

/// Returns \a rows, the first of which is the head, as lines with aligned columns. Widths count
/// characters, not bytes.
std::string textTable(const std::vector<std::vector<std::string>> &rows);

} // namespace dotterel
