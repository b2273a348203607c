#include "state/collection_store.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<Collection>, 5> CollectionNames = {{
        {Collection::Configuration, "configuration"},
        {Collection::Servers, "servers"},
        {Collection::Hosts, "hosts"},
        {Collection::DomainsOutOfService, "domains_out_of_service"},
        {Collection::CrashSuspects, "crash_suspects"},
}};

} // namespace

bool isUsuallyEmpty(Collection collection)
{
    return collection == Collection::DomainsOutOfService || collection == Collection::CrashSuspects;
}

std::string_view collectionName(Collection collection)
{
    return enumName(CollectionNames, collection);
}

bool isLaterState(const CollectionObject &candidate, const CollectionObject &known)
{
    // A versioned object stays in force when a restored store does not have it.
    if (known.version > 0 && candidate.removed)
        return false;
    if (known.version > 0 && candidate.version > 0 && candidate.version != known.version)
        return candidate.version > known.version;
    if (candidate.era != known.era)
        return candidate.era > known.era;
    if (candidate.revision != known.revision)
        return candidate.revision > known.revision;
    // The exact revision of a removal is not known, only a bound for it, so that an object that is
    // written again may have the revision recorded for its removal.
    return known.removed && !candidate.removed;
}

} // namespace dotterel
