#include "state/configuration.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<PoolKind>, 2> PoolKindNames = {{
        {PoolKind::Model, "model"},
        {PoolKind::Service, "service"},
}};

} // namespace

std::string_view poolKindName(PoolKind kind)
{
    return enumName(PoolKindNames, kind);
}

} // namespace dotterel
