#pragma once

#include "coordination/order_ledger.h"
#include "coordination/order_outcome_writer.h"
#include "coordination/order_record.h"
#include "core/event_log.h"
#include "core/identity.h"
#include "core/random_source.h"
#include "state/object_store.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace dotterel {

/// Stores each order as a separate object: a conditional create claims it, and a conditional write
/// records the outcome. docs/design/orders.md explains why no order is executed twice.
class OrderObjectLedger : public OrderLedger
{
public:
    OrderObjectLedger(HostIdentity identity, ObjectStore &store, const HostLiveness &liveness,
                      OrderOutcomePeers &peers, RandomSource &random, EventLog &log);
    ~OrderObjectLedger() override;

    void claim(const OrderClaim &claim, const ClaimCallback &callback) override;
    void recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer) override;
    void release(const OrderClaim &claim) override;
    void onRefused(const RequestId &request, Verdict verdict) override;
    void adopt(const OrderOutcome &outcome, TimePoint now) override;
    void onTimer(TimePoint now) override;
    std::optional<TimePoint> nextTimer() const override;
    std::size_t pending() const override { return this->attempts.size() + this->outcomes.size(); }

private:
    struct Attempt;
    using AttemptPointer = std::shared_ptr<Attempt>;

    /// A claim that this host holds and whose outcome is not known yet.
    struct Held
    {
        RequestId request;
        OrderRecord record;
        std::uint64_t version = 0;
    };

    struct Ready
    {
        ClaimCallback callback;
        ClaimOutcome outcome;
    };

    std::optional<ClaimOutcome> knownOutcome(const OrderClaim &claim,
                                             const std::string &name) const;
    void write(const AttemptPointer &attempt);
    void readBack(const AttemptPointer &attempt);
    void decide(const AttemptPointer &attempt, const StoredObject &object, TimePoint now);
    ClaimOutcome outcomeOf(const OrderRecord &record, const OrderClaim &claim) const;
    void repeatLater(const AttemptPointer &attempt, TimePoint now);
    void win(const AttemptPointer &attempt, std::uint64_t version, TimePoint now);
    void giveUp(const AttemptPointer &attempt, const ClaimOutcome &outcome, TimePoint now);
    void settle(const std::string &name, OrderState state, const ServiceAnswer &answer);

    HostIdentity identity;
    ObjectStore &store;
    const HostLiveness &liveness;
    RandomSource &random;
    OrderOutcomeWriter outcomes;
    std::map<std::string, AttemptPointer> attempts; ///< By order name.
    std::map<std::string, Held> held;               ///< By order name.
    std::map<RequestId, std::string> heldNames;
    std::deque<Ready> ready; ///< Outcomes that need no call to the object API.
};

} // namespace dotterel
