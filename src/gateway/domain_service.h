#pragma once

#include "core/event_log.h"
#include "core/time.h"
#include "state/collection_store.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Timing parameters of DomainService.
struct DomainServiceTimings
{
    /// How long a domain stays out of service after a restored copy of the store turned out to lack
    /// its entry. The operators need this time to see that the entry is lost and to write it again.
    Duration lostEntryGrace = std::chrono::seconds(30);
};

/// Decides which failure domains are out of service: those for which the platform's store has an
/// entry, whatever the entry contains. Answers the loss or the planned work of a whole failure
/// domain, whose load has to go elsewhere at once. Performs no I/O.
class DomainService
{
public:
    DomainService(const DomainServiceTimings &timings, EventLog &log);

    /// Applies changes of Collection::DomainsOutOfService; \a source is logged. Returns true if
    /// outOfService() changed.
    bool apply(const std::vector<CollectionObject> &changes, std::string_view source,
               TimePoint now);

    /// Returns when onTimer() is due next; nullopt if not at all.
    std::optional<TimePoint> nextTimer() const;

    /// Puts domains back in service whose entries were lost and not written again in time. Returns
    /// true if outOfService() changed.
    bool onTimer(TimePoint now);

    /// Returns the names of the domains that are out of service.
    std::set<std::string> outOfService() const;

private:
    struct Entry
    {
        std::uint64_t revision = 0;
        std::uint64_t era = 0;
        TimePoint since;
        std::optional<TimePoint> lostUntil; ///< Set while a restored copy of the store lacks it.
    };

    bool add(const CollectionObject &object, std::string_view source, TimePoint now);
    bool remove(const CollectionObject &object, std::string_view source, TimePoint now);
    void logInService(const std::string &domain, const Entry &entry, std::string_view source,
                      std::uint64_t revision, TimePoint now);

    DomainServiceTimings timings;
    EventLog &log;
    std::map<std::string, Entry> entries; ///< By failure domain.
};

} // namespace dotterel
