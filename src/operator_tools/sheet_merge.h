#pragma once

#include "operator_tools/configuration_merge.h"
#include "state/sheet_reader.h"

#include <tl/expected.hpp>

namespace dotterel {

/// How a sheet is taken over.
struct SheetOptions
{
    MissingObjects missing = MissingObjects::Keep;
    bool keepNewer = false; ///< Keep what was changed after the export in place of refusing.
};

/// A sheet taken over, or the reason why it is refused as a whole.
struct SheetMerge
{
    Merge merge;
    std::vector<std::string> kept; ///< A line for each object that was changed after the export.
};

/// Why a sheet was refused.
struct SheetRefusal
{
    bool tooOld = false; ///< Older than what is stored; else the sheet itself is wrong.
    std::vector<SheetError> faults;
};

/// Takes \a sheet, which must have an export time, over into \a stored. \a file names the sheet.
tl::expected<SheetMerge, SheetRefusal> mergeSheet(const Configuration &stored, const Sheet &sheet,
                                                  const std::string &file,
                                                  const SheetOptions &options);

} // namespace dotterel
