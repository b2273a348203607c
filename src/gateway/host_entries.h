#pragma once

#include "state/collection_store.h"

#include <optional>
#include <string>

namespace dotterel {

/// Returns the entry by which \a host makes itself known to the other entry hosts, as JSON.
std::string encodeHostEntry(const ListedHost &host);

/// Reads what encodeHostEntry() wrote for the host \a name; none if it did not.
std::optional<ListedHost> decodeHostEntry(const std::string &name, const std::string &text);

/// The list of entry hosts, kept as entries that each host writes of itself.
class CollectionHostList : public HostList
{
public:
    CollectionHostList(CollectionStore &store, const Clock &clock);

    void hosts(Callback callback) override;

private:
    CollectionStore &store;
    const Clock &clock;
};

} // namespace dotterel
