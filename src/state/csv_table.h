#pragma once

#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// One row of a CSV file.
struct CsvRow
{
    std::size_t number = 0; ///< Counted from 1, as in a spreadsheet.
    std::vector<std::string> cells;
};

/// A syntax error in a CSV file.
struct CsvError
{
    std::size_t row = 0;
    std::string message;
};

/// Parses \a text, UTF-8 with line feeds, by libcsv. Rows whose cells are all empty are omitted.
tl::expected<std::vector<CsvRow>, CsvError> readCsv(const std::string &text, char delimiter);

} // namespace dotterel
