#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// One fault in a sheet.
struct SheetFault
{
    std::string file;
    std::size_t row = 0; ///< As a spreadsheet counts, from 1; 0 for the whole file.
    std::string column;  ///< Such as "C (cuota)"; empty for the whole row.
    std::string message; ///< What was wrong and what is allowed.

    /// Returns "file: row R, column C: message".
    std::string text() const;
};

/// A workspace on a sheet.
struct SheetWorkspace
{
    std::size_t row = 0;
    std::string name;
    double share = 0;
};

/// The deadline of a request class on a sheet.
struct SheetClass
{
    std::size_t row = 0;
    std::string name;
    Duration deadline = Duration::zero();
};

/// Whether the requests of a class are idempotent, on a sheet.
struct SheetMark
{
    std::size_t row = 0;
    std::string requestClass;
    bool idempotent = true;
};

/// The sheet that the planners export. docs/SHEET.md is the page.
struct Sheet
{
    std::optional<WallMilliseconds> exportedAt;
    std::vector<SheetWorkspace> workspaces;
    std::vector<SheetClass> classes;
    std::vector<SheetMark> marks;
};

/// A name of a column or of a kind of row, in the two languages that sheets are written in.
struct SheetWord
{
    std::string_view english;
    std::string_view spanish;
    std::string_view meaning;
};

/// Returns the names of the columns, in their usual order.
const std::vector<SheetWord> &sheetColumns();

/// Returns the kinds of rows.
const std::vector<SheetWord> &sheetKinds();

/// Reads a sheet from the bytes of a CSV file; \a file names it in faults. Returns every fault at
/// once.
tl::expected<Sheet, std::vector<SheetFault>> readSheet(std::string_view bytes,
                                                       const std::string &file);

} // namespace dotterel
