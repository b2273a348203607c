#include "state/object_store.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<StoreError>, 6> StoreErrorNames = {{
        {StoreError::NotFound, "not_found"},
        {StoreError::Conflict, "conflict"},
        {StoreError::Unavailable, "unavailable"},
        {StoreError::UnknownOutcome, "unknown_outcome"},
        {StoreError::TooLarge, "too_large"},
        {StoreError::NoResponse, "no_response"},
}};

} // namespace

std::string_view storeErrorName(StoreError error)
{
    return enumName(StoreErrorNames, error);
}

} // namespace dotterel
