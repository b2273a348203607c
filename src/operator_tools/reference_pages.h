#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// A part of the documentation that is written from the tables in the code.
struct ReferencePage
{
    std::string_view file;   ///< Below docs/.
    std::string_view option; ///< Of dotterelfieldd, without the dashes.
    std::string (*text)();   ///< Markdown.
};

/// Returns all rows of the table of generated parts. `scripts/pages` writes them into their files.
const std::vector<ReferencePage> &referencePages();

} // namespace dotterel
