#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// An error in a sheet.
struct SheetError
{
    std::string file;
    std::size_t row = 0; ///< From 1, as in a spreadsheet; 0 for the whole file.
    std::string column;  ///< For example "C (cuota)"; empty for the whole row.
    std::string message; ///< Describes the error and the allowed values.

    /// Returns "file: row R, column C: message".
    std::string text() const;
};

/// A row that sets the share of a workspace.
struct SheetWorkspace
{
    std::size_t row = 0;
    std::string name;
    double share = 0;
};

/// A row that sets the deadline of a request class.
struct SheetRequestClass
{
    std::size_t row = 0;
    std::string name;
    Duration deadline = Duration::zero();
};

/// A row that sets whether the requests of a class are idempotent.
struct SheetIdempotencyMark
{
    std::size_t row = 0;
    std::string requestClass;
    bool idempotent = true;
};

/// The CSV sheet that planners export. Documented in docs/SHEET.md.
struct Sheet
{
    std::optional<WallMilliseconds> exportedAt;
    std::vector<SheetWorkspace> workspaces;
    std::vector<SheetRequestClass> requestClasses;
    std::vector<SheetIdempotencyMark> idempotencyMarks;
};

/// A column name or row kind in English and Spanish, the languages of sheets.
struct SheetTerm
{
    std::string_view english;
    std::string_view spanish;
    std::string_view meaning;
};

/// Returns the column names in the documented order.
const std::vector<SheetTerm> &sheetColumns();

/// Returns the row kinds in the documented order.
const std::vector<SheetTerm> &sheetKinds();

/// Parses a sheet from the bytes of a CSV file. On failure returns all errors; \a file is the file
/// name in them.
tl::expected<Sheet, std::vector<SheetError>> readSheet(std::string_view bytes,
                                                       const std::string &file);

} // namespace dotterel
