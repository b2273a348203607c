#pragma once

#include "coordination/order_record.h"
#include "coordination/request.h"

#include <functional>
#include <optional>

namespace dotterel {

/// Decides who may run an order. Implementations let the object API arbitrate by conditional
/// writes: nobody ever takes a claim over to run it, so a paused holder that wakes breaks nothing.
class OrderLedger
{
public:
    /// Gets the outcome of a claim, never from inside claim(). Claimed allows one dispatch, now.
    using ClaimCallback = std::function<void(const ClaimOutcome &, TimePoint now)>;

    virtual ~OrderLedger() = default;

    /// Claims the order of \a claim; \a callback is called once, and with Claimed only before the
    /// deadline of the claim.
    virtual void claim(const OrderClaim &claim, const ClaimCallback &callback) = 0;

    /// Records the answer of an order that this host claimed, until it is stored.
    virtual void recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer) = 0;

    /// Records that an order that this host claimed was not run, so that its key may run later.
    virtual void release(const OrderClaim &claim) = 0;

    /// \a request got its final refusal with \a verdict. A claim that it still holds, or gets
    /// later, is settled accordingly.
    virtual void onRefused(const RequestId &request, Verdict verdict) = 0;

    /// Takes over an outcome that a peer could not store at once, so that it outlives the peer.
    virtual void adopt(const OrderOutcome &outcome, TimePoint now) = 0;

    /// Does what is due.
    virtual void onTimer(TimePoint now) = 0;

    /// Returns the next time at which onTimer() must be called.
    virtual std::optional<TimePoint> nextTimer() const = 0;

    /// Returns the number of claims and outcomes that are not settled in the object API.
    virtual std::size_t pending() const = 0;
};

/// Carries outcomes that cannot be stored at once to other entry hosts.
class OrderOutcomePeers
{
public:
    virtual ~OrderOutcomePeers() = default;

    /// Tells peers of \a outcome; they may lose it.
    virtual void offerOutcome(const OrderOutcome &outcome) = 0;
};

/// Tells whether a claim's holder may still be at work. A hint: it words an answer, and nothing is
/// ever run because of it.
class HostLiveness
{
public:
    virtual ~HostLiveness() = default;

    /// Returns true if \a incarnation of \a host is believed to be alive.
    virtual bool believedAlive(const HostId &host, Incarnation incarnation) const = 0;
};

} // namespace dotterel
