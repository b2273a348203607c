#pragma once

#include "coordination/order_record.h"
#include "core/event_log.h"
#include "state/object_store.h"

#include <map>
#include <optional>
#include <string>

namespace dotterel {

/// Returns the key of the object that holds the order called \a name.
std::string orderObjectKey(const std::string &name);

/// Writes the outcomes of claims, each until the object API holds it. Also settles a claim whose
/// own write has an unknown outcome: the record that it writes in its place makes a late effect of
/// that write impossible, because both ask for the same version.
class OrderOutcomeWriter
{
public:
    OrderOutcomeWriter(ObjectStore &store, EventLog &log);

    /// Writes \a record, which is not Claimed, over the claim of the same nonce. \a version is that
    /// of the claim, or the one that the write of the claim asked for.
    void add(const std::string &name, const OrderRecord &record, std::uint64_t version);

    /// Returns an outcome of the order called \a name that is not stored yet, if there is one.
    const OrderRecord *find(const std::string &name) const;

    /// Repeats the writes that are due.
    void onTimer(TimePoint now);

    /// Returns when the next write is due.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the number of outcomes that are not stored.
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        std::string name;
        OrderRecord record;
        std::uint64_t version = 0;
        std::optional<TimePoint> due; ///< Empty while a call is under way.
        Duration pause{};
    };

    void write(const std::string &id);
    void readBack(const std::string &id);
    void compare(const std::string &id, const StoredObject &object, TimePoint now);
    void repeatLater(const std::string &id, TimePoint now);
    void finish(const std::string &id);

    ObjectStore &store;
    EventLog &log;
    std::map<std::string, Entry> entries; ///< By name and nonce.
};

} // namespace dotterel
