#include "state/collection_store.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<Collection>, 3> CollectionNames = {{
        {Collection::Configuration, "configuration"},
        {Collection::Servers, "servers"},
        {Collection::Hosts, "hosts"},
}};

} // namespace

std::string_view collectionName(Collection collection)
{
    return enumName(CollectionNames, collection);
}

} // namespace dotterel
