#pragma once

#include <string_view>
#include <vector>

namespace dotterel {

/// Exit codes of dotterelctl. A code is never given another meaning.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    BadUsage = 2,
    BadInput = 3,
    Conflict = 4,
    TooOld = 5,
    Differs = 6,
};

/// Static properties of an ExitCode.
struct ExitCodeInfo
{
    ExitCode code;
    std::string_view meaning;
};

/// Returns all rows of the table of exit codes, in the order of the numbers.
const std::vector<ExitCodeInfo> &exitCodeTable();

} // namespace dotterel
