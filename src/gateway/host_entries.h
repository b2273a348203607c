#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "state/collection_store.h"

#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Returns the JSON entry by which \a host registers itself for the other entry hosts.
std::string encodeHostEntry(const HostListEntry &host);

/// Parses an entry written by encodeHostEntry() for the host \a name. Returns the reason if \a text
/// is not a valid entry, or if peers would not accept what it holds.
tl::expected<HostListEntry, std::string> decodeHostEntry(const std::string &name,
                                                         const std::string &text);

/// List of entry hosts read from the hosts collection, in which each host registers itself. Entries
/// that cannot be used are left out, counted and logged once.
class CollectionHostList : public HostList
{
public:
    CollectionHostList(CollectionStore &store, const Clock &clock, Metrics &metrics, EventLog &log);
    ~CollectionHostList() override;

    void readHosts(Callback callback) override;

private:
    std::vector<HostListEntry> decodeHosts(const CollectionPage &page);
    void reportRejected(const CollectionObject &object, const std::string &reason);

    CollectionStore &store;
    const Clock &clock;
    Metrics &metrics;
    EventLog &log;
    std::map<std::string, std::uint64_t> rejectedRevisions; ///< By name, at the previous read.
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); ///< False for callbacks that run after destruction.
};

} // namespace dotterel
