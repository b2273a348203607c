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
                      OrderOutcomeReplicator &replicator, RandomSource &random, EventLog &log);
    ~OrderObjectLedger() override;

    void claim(const OrderClaim &claim, const ClaimCallback &callback) override;
    void recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer) override;
    void recordNotRun(const OrderClaim &claim) override;
    void onRequestRefused(const RequestId &request, Verdict verdict) override;
    void adoptOutcome(const OrderOutcome &outcome, TimePoint now) override;
    void onTimer(TimePoint now) override;
    std::optional<TimePoint> nextTimer() const override;
    std::size_t pendingCount() const override
    {
        return this->attempts.size() + this->outcomes.size();
    }

private:
    struct ClaimAttempt;
    using ClaimAttemptPointer = std::shared_ptr<ClaimAttempt>;

    /// A claim that this host holds and whose outcome is not known yet.
    struct HeldClaim
    {
        RequestId request;
        OrderRecord record;
        std::uint64_t version = 0;
    };

    struct ImmediateOutcome
    {
        ClaimCallback callback;
        ClaimOutcome outcome;
    };

    std::optional<ClaimOutcome> knownOutcome(const OrderClaim &claim,
                                             const std::string &name) const;
    void writeClaim(const ClaimAttemptPointer &attempt);
    void readClaim(const ClaimAttemptPointer &attempt);
    void onRecordRead(const ClaimAttemptPointer &attempt, const StoredObject &object,
                      TimePoint now);
    ClaimOutcome outcomeForRecord(const OrderRecord &record, const OrderClaim &claim) const;
    void scheduleRetry(const ClaimAttemptPointer &attempt, TimePoint now);
    void onClaimed(const ClaimAttemptPointer &attempt, std::uint64_t version, TimePoint now);
    void abandonClaim(const ClaimAttemptPointer &attempt, const ClaimOutcome &outcome,
                      TimePoint now);
    void recordOutcome(const std::string &name, OrderState state, const ServiceAnswer &answer);

    HostIdentity identity;
    ObjectStore &store;
    const HostLiveness &liveness;
    RandomSource &random;
    OrderOutcomeWriter outcomes;
    std::map<std::string, ClaimAttemptPointer> attempts; ///< By order name.
    std::map<std::string, HeldClaim> heldClaims;         ///< By order name.
    std::map<RequestId, std::string> heldOrderNames;
    /// Outcomes that need no call to the object API. They are reported by onTimer().
    std::deque<ImmediateOutcome> immediateOutcomes;
};

} // namespace dotterel
