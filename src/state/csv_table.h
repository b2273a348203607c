#pragma once

#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// One row of a CSV file.
struct CsvRow
{
    std::size_t number = 0; ///< As a spreadsheet counts, from 1.
    std::vector<std::string> cells;
};

/// Where and why a CSV file could not be read.
struct CsvError
{
    std::size_t row = 0;
    std::string message;
};

/// Reads \a text, UTF-8 with line feeds, by libcsv. Rows whose cells are all empty are left out.
tl::expected<std::vector<CsvRow>, CsvError> readCsv(const std::string &text, char delimiter);

} // namespace dotterel
