#pragma once

#include "coordination/request.h"
#include "core/event_log.h"
#include "core/identity.h"
#include "core/random_source.h"
#include "state/object_store.h"

#include <functional>
#include <string>

namespace dotterel {

/// Decides who may run an order, by conditional writes to the object API. Each order is one
/// object; nobody ever takes a claim over, so a paused holder that wakes can break nothing.
class OrderLedger
{
public:
    using ClaimCallback = std::function<void(const ClaimOutcome &, TimePoint now)>;

    OrderLedger(HostIdentity identity, ObjectStore &store, RandomSource &random, EventLog &log);

    /// Claims the order of \a claim; \a callback is called once.
    void claim(const OrderClaim &claim, const ClaimCallback &callback);

    /// Records the answer of an order that this host claimed.
    void recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer);

    /// Records that an order that this host claimed was not run.
    void release(const OrderClaim &claim);

    /// Returns the number of calls to the object API that have not been answered.
    std::size_t pending() const { return this->pendingCalls; }

private:
    struct Record;

    void settle(const OrderClaim &claim, const StoredObject &object, const std::string &nonce,
                const ClaimCallback &callback, TimePoint now);
    void write(const OrderClaim &claim, const Record &record, std::uint64_t expectedVersion,
               const ClaimCallback &callback);
    void readBack(const OrderClaim &claim, const std::string &nonce, const ClaimCallback &callback);
    void finish(const OrderClaim &claim, const Record &record);

    HostIdentity identity;
    ObjectStore &store;
    RandomSource &random;
    EventLog &log;
    std::size_t pendingCalls = 0;
};

} // namespace dotterel
