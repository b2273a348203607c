#pragma once

#include "coordination/order_ledger.h"
#include "core/event_log.h"
#include "state/object_store.h"

#include <map>
#include <optional>
#include <string>

namespace dotterel {

/// Returns the object key of the order named \a name.
std::string orderObjectKey(const std::string &name);

/// Writes the outcomes of claims to the object API and retries until each is stored. Also resolves
/// claims whose own write has an unknown outcome: the record of the outcome expects the same object
/// version as that write, so that only one of them can take effect.
class OrderOutcomeWriter
{
public:
    OrderOutcomeWriter(ObjectStore &store, OrderOutcomeReplicator &replicator, EventLog &log);

    /// Writes \a outcome, and replicates it to the peers if the first attempt fails.
    void add(const OrderOutcome &outcome);

    /// Writes \a outcome of a peer after a delay, if the peer has not stored it by then. Concurrent
    /// writes of both are harmless: the record refers to a single claim, whose outcome never
    /// changes.
    void adoptOutcome(const OrderOutcome &outcome, TimePoint now);

    /// Returns an outcome of the order named \a name that is not stored yet, or null.
    const OrderRecord *findOutcome(const std::string &name) const;

    /// Returns true if an outcome that is not stored yet says that the claim \a nonce of the order
    /// named \a name was not and will never be executed.
    bool isKnownNotRun(const std::string &name, const std::string &nonce) const;

    /// Starts the writes that are due.
    void onTimer(TimePoint now);

    /// Returns the time at which the next write is due, if any.
    std::optional<TimePoint> nextTimer() const;

    /// Returns the number of outcomes that are not stored yet.
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry
    {
        OrderOutcome outcome;
        std::optional<TimePoint> retryAt; ///< Empty while a call is in progress.
        Duration retryDelay{};
        bool replicated = false; ///< True if the outcome was replicated to or received from peers.
    };

    void writeOutcome(const std::string &id);
    void readRecord(const std::string &id);
    void onRecordRead(const std::string &id, const StoredObject &object, TimePoint now);
    void scheduleRetry(const std::string &id, TimePoint now);
    void removeEntry(const std::string &id);

    ObjectStore &store;
    OrderOutcomeReplicator &replicator;
    EventLog &log;
    std::map<std::string, Entry> entries; ///< By order name and nonce.
};

} // namespace dotterel
