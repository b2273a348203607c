#pragma once

#include "coordination/order_record.h"
#include "coordination/request.h"

#include <functional>
#include <optional>

namespace dotterel {

/// Decides which request may execute an order. Implementations use conditional writes to the object
/// API for mutual exclusion. A claim is never taken over by another host for execution, so a holder
/// that resumes after a pause cannot cause a second execution.
class OrderLedger
{
public:
    /// Receives the outcome of a claim; never called from inside claim(). Claimed permits exactly
    /// one dispatch, at once.
    using ClaimCallback = std::function<void(const ClaimOutcome &, TimePoint now)>;

    virtual ~OrderLedger() = default;

    /// Claims the order of \a claim. \a callback is called exactly once, and with Claimed only
    /// before the deadline of the claim.
    virtual void claim(const OrderClaim &claim, const ClaimCallback &callback) = 0;

    /// Records the answer of an order that this host claimed. Retries until it is stored.
    virtual void recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer) = 0;

    /// Records that an order claimed by this host was not executed, so that its key can be claimed
    /// again.
    virtual void recordNotRun(const OrderClaim &claim) = 0;

    /// Called when \a request was finally refused with \a verdict. Records the outcome of a claim
    /// that the request holds or still obtains afterwards.
    virtual void onRequestRefused(const RequestId &request, Verdict verdict) = 0;

    /// Stores an outcome that a peer could not store itself, so that it is not lost if the peer
    /// fails.
    virtual void adoptOutcome(const OrderOutcome &outcome, TimePoint now) = 0;

    /// Runs the callbacks and retries that are due.
    virtual void onTimer(TimePoint now) = 0;

    /// Returns the time of the next required call of onTimer(), if any.
    virtual std::optional<TimePoint> nextTimer() const = 0;

    /// Returns the number of claims in progress and of outcomes that are not stored yet.
    virtual std::size_t pendingCount() const = 0;
};

/// Replicates order outcomes that could not be stored to other entry hosts.
class OrderOutcomeReplicator
{
public:
    virtual ~OrderOutcomeReplicator() = default;

    /// Sends \a outcome to peers. Delivery is not guaranteed.
    virtual void replicateOutcome(const OrderOutcome &outcome) = 0;
};

/// Reports whether the holder of a claim may still be running. This is a hint that only selects the
/// error reported to the caller; it never permits an execution.
class HostLiveness
{
public:
    virtual ~HostLiveness() = default;

    /// Returns true if \a incarnation of \a host is considered alive.
    virtual bool isBelievedAlive(const HostId &host, Incarnation incarnation) const = 0;
};

} // namespace dotterel
