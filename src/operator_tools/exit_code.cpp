#include "operator_tools/exit_code.h"

namespace dotterel {

const std::vector<ExitCodeInfo> &exitCodeTable()
{
    static const std::vector<ExitCodeInfo> table = {
            {ExitCode::Done, "done, or nothing had to change"},
            {ExitCode::Failed, "the platform or a host did not do it; the message says which"},
            {ExitCode::BadUsage, "the command line was wrong; nothing was read or written"},
            {ExitCode::BadInput, "a file or a name was wrong; nothing was written"},
            {ExitCode::Conflict, "another change came first; nothing was written"},
            {ExitCode::TooOld, "the sheet is older than what is stored; nothing was written"},
            {ExitCode::Differs, "diff: the file and the stored configuration differ"},
    };
    return table;
}

} // namespace dotterel
