#pragma once

#include "state/collection_store.h"

#include <optional>
#include <string>

namespace dotterel {

/// Returns the JSON entry by which \a host registers itself for the other entry hosts.
std::string encodeHostEntry(const HostListEntry &host);

/// Parses an entry written by encodeHostEntry() for the host \a name. Returns nullopt if \a text is
/// not a valid entry.
std::optional<HostListEntry> decodeHostEntry(const std::string &name, const std::string &text);

/// List of entry hosts read from the hosts collection, in which each host registers itself.
class CollectionHostList : public HostList
{
public:
    CollectionHostList(CollectionStore &store, const Clock &clock);

    void readHosts(Callback callback) override;

private:
    CollectionStore &store;
    const Clock &clock;
};

} // namespace dotterel
