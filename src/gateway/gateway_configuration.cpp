#include "gateway/gateway_configuration.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<RouteKind>, 3> RouteKindNames = {{
        {RouteKind::Idempotent, "idempotent"},
        {RouteKind::AtMostOnce, "at_most_once"},
        {RouteKind::Stream, "stream"},
}};

} // namespace

std::string_view routeKindName(RouteKind kind)
{
    return enumName(RouteKindNames, kind);
}

} // namespace dotterel
