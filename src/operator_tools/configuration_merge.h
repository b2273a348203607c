#pragma once

#include "operator_tools/configuration_objects.h"

#include <string>
#include <vector>

namespace dotterel {

/// What becomes of stored objects that a file does not name.
enum class MissingObjects {
    Keep,
    Remove,
};

/// A configuration to be stored, and the objects that only the stored one names.
struct Merge
{
    Configuration merged;
    std::vector<ConfigurationObject> missing;
};

/// Returns \a stored with the objects of \a file in place of those of the same names. \a now is
/// kept as the time of each decision that differs.
Merge mergeFile(const Configuration &stored, const Configuration &file, MissingObjects missing,
                WallMilliseconds now);

/// Marks \a configuration as changed by hand at \a now against \a stored: every changed workspace
/// and class gets the time, and after a removal no sheet that was exported earlier is taken.
void stampChanges(const Configuration &stored, Configuration &configuration, WallMilliseconds now);

} // namespace dotterel
