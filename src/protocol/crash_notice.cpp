#include "protocol/crash_notice.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<CrashSubject>, 2> CrashSubjectNames = {{
        {CrashSubject::Request, "request"},
        {CrashSubject::PromptPart, "prompt_part"},
}};

} // namespace

std::string_view crashSubjectName(CrashSubject subject)
{
    return enumName(CrashSubjectNames, subject);
}

} // namespace dotterel
