#pragma once

#include "coordination/order_ledger.h"
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
    OrderOutcomeWriter(ObjectStore &store, OrderOutcomePeers &peers, EventLog &log);

    /// Writes \a outcome, and tells the peers of it if the first try fails.
    void add(const OrderOutcome &outcome);

    /// Writes \a outcome of a peer, some time after the peer should have done so. It is no danger
    /// that both write: the record names one claim, and its outcome is never another.
    void adopt(const OrderOutcome &outcome, TimePoint now);

    /// Returns an outcome of the order called \a name that is not stored yet, if there is one.
    const OrderRecord *find(const std::string &name) const;

    /// Returns true if it is known that the claim \a nonce of the order called \a name was not run
    /// and never will be.
    bool knowsNotRun(const std::string &name, const std::string &nonce) const;

    /// Repeats the writes that are due.
    void onTimer(TimePoint now);

    /// Returns when the next write is due.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the number of outcomes that are not stored.
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        OrderOutcome outcome;
        std::optional<TimePoint> due; ///< Empty while a call is under way.
        Duration pause{};
        bool offered = false; ///< Peers know of it.
    };

    void write(const std::string &id);
    void readBack(const std::string &id);
    void compare(const std::string &id, const StoredObject &object, TimePoint now);
    void repeatLater(const std::string &id, TimePoint now);
    void finish(const std::string &id);

    ObjectStore &store;
    OrderOutcomePeers &peers;
    EventLog &log;
    std::map<std::string, Entry> entries; ///< By name and nonce.
};

} // namespace dotterel
