#include "coordination/order_object_ledger.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Interval between attempts to write a claim, and the time after the first failed attempt at which
/// the claim is abandoned. The caller is then told that the order was not executed and when to
/// retry.
constexpr Duration RetryInterval = std::chrono::milliseconds(10);
constexpr Duration ClaimRetryTimeout = std::chrono::milliseconds(500);

/// Maximum number of outcomes that wait to be stored; beyond it, new orders are refused.
constexpr std::size_t MaxUnsettledOutcomes = 4'096;

} // namespace

/// A claim whose write is in progress.
struct OrderObjectLedger::Attempt
{
    OrderClaim claim;
    std::string name;
    OrderRecord record;
    ClaimCallback callback;
    std::uint64_t expectedVersion = 0;
    bool inDoubt = false; ///< True if a write at expectedVersion has an unknown outcome.
    bool refused = false; ///< True if the caller has already received its final answer.
    std::optional<TimePoint> due;
    std::optional<TimePoint> retryDeadline;
};

OrderObjectLedger::OrderObjectLedger(HostIdentity identity, ObjectStore &store,
                                     const HostLiveness &liveness, OrderOutcomePeers &peers,
                                     RandomSource &random, EventLog &log)
    : identity(std::move(identity))
    , store(store)
    , liveness(liveness)
    , random(random)
    , outcomes(store, peers, log)
{}

OrderObjectLedger::~OrderObjectLedger() = default;

void OrderObjectLedger::claim(const OrderClaim &claim, const ClaimCallback &callback)
{
    const std::string name = orderName(claim);
    const std::optional<ClaimOutcome> known = this->knownOutcome(claim, name);
    if (known) {
        this->ready.push_back({callback, *known});
        return;
    }
    const AttemptPointer attempt = std::make_shared<Attempt>();
    attempt->claim = claim;
    attempt->name = name;
    attempt->callback = callback;
    attempt->record.host = this->identity.host;
    attempt->record.incarnation = this->identity.incarnation;
    attempt->record.nonce = toHex(this->random.next()) + toHex(this->random.next());
    attempt->record.bodyHash = claim.bodyHash;
    this->attempts[name] = attempt;
    this->write(attempt);
}

void OrderObjectLedger::recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer)
{
    this->settle(orderName(claim), OrderState::Finished, recordableAnswer(answer));
}

void OrderObjectLedger::release(const OrderClaim &claim)
{
    this->settle(orderName(claim), OrderState::NotRun, {});
}

void OrderObjectLedger::onRefused(const RequestId &request, Verdict verdict)
{
    const auto it = this->heldNames.find(request);
    if (it != this->heldNames.end()) {
        const std::string name = it->second;
        this->settle(name, verdict == Verdict::NotRun ? OrderState::NotRun : OrderState::InDoubt,
                     {});
        return;
    }
    for (const auto &[name, attempt] : this->attempts)
        attempt->refused = attempt->refused || attempt->claim.request == request;
}

void OrderObjectLedger::adopt(const OrderOutcome &outcome, TimePoint now)
{
    this->outcomes.adopt(outcome, now);
}

void OrderObjectLedger::onTimer(TimePoint now)
{
    std::deque<Ready> outcomesToReport;
    outcomesToReport.swap(this->ready);
    for (const Ready &answer : outcomesToReport)
        answer.callback(answer.outcome, now);
    std::vector<AttemptPointer> due;
    for (const auto &[name, attempt] : this->attempts) {
        if (attempt->due && *attempt->due <= now)
            due.push_back(attempt);
    }
    for (const AttemptPointer &attempt : due) {
        attempt->due.reset();
        this->write(attempt);
    }
    this->outcomes.onTimer(now);
}

std::optional<TimePoint> OrderObjectLedger::nextTimer() const
{
    if (!this->ready.empty())
        return TimePoint{};
    std::optional<TimePoint> next = this->outcomes.nextTimer();
    for (const auto &[name, attempt] : this->attempts) {
        if (attempt->due && (!next || *attempt->due < *next))
            next = attempt->due;
    }
    return next;
}

std::optional<ClaimOutcome> OrderObjectLedger::knownOutcome(const OrderClaim &claim,
                                                            const std::string &name) const
{
    const auto attempt = this->attempts.find(name);
    if (attempt != this->attempts.end())
        return this->outcomeOf(attempt->second->record, claim);
    const auto heldClaim = this->held.find(name);
    if (heldClaim != this->held.end())
        return this->outcomeOf(heldClaim->second.record, claim);
    const OrderRecord *outcome = this->outcomes.find(name);
    if (outcome != nullptr && outcome->state != OrderState::NotRun)
        return this->outcomeOf(*outcome, claim);
    if (this->outcomes.size() >= MaxUnsettledOutcomes)
        return ClaimOutcome{ClaimResult::Unavailable, {}};
    return std::nullopt;
}

void OrderObjectLedger::write(const AttemptPointer &attempt)
{
    this->store.write(orderObjectKey(attempt->name), encodeOrderRecord(attempt->record),
                      attempt->expectedVersion,
                      [this, attempt](const ObjectStore::WriteResult &result, TimePoint now) {
                          if (result) {
                              this->win(attempt, *result, now);
                          } else if (result.error() == StoreError::Conflict) {
                              this->readBack(attempt);
                          } else if (result.error() == StoreError::UnknownOutcome) {
                              attempt->inDoubt = true;
                              this->readBack(attempt);
                          } else if (attempt->inDoubt) {
                              this->repeatLater(attempt, now);
                          } else {
                              this->giveUp(attempt, {ClaimResult::Unavailable, {}}, now);
                          }
                      });
}

void OrderObjectLedger::readBack(const AttemptPointer &attempt)
{
    this->store.read(orderObjectKey(attempt->name),
                     [this, attempt](const ObjectStore::ReadResult &result, TimePoint now) {
                         const bool absent = !result && result.error() == StoreError::NotFound;
                         if (result)
                             this->decide(attempt, *result, now);
                         else if (absent || attempt->inDoubt)
                             this->repeatLater(attempt, now);
                         else
                             this->giveUp(attempt, {ClaimResult::Unavailable, {}}, now);
                     });
}

void OrderObjectLedger::decide(const AttemptPointer &attempt, const StoredObject &object,
                               TimePoint now)
{
    const std::optional<OrderRecord> found = decodeOrderRecord(object.value);
    if (!found) {
        this->giveUp(attempt, {ClaimResult::OutcomeUnknown, {}}, now);
        return;
    }
    if (found->nonce == attempt->record.nonce) {
        this->win(attempt, object.version, now);
        return;
    }
    if (object.version <= attempt->expectedVersion) {
        // The read is stale, or returned the record that the claim replaces.
        this->repeatLater(attempt, now);
        return;
    }
    // The object has moved past the expected version, so no earlier write of this claim can take
    // effect.
    attempt->inDoubt = false;
    // A claim that its holder has abandoned is never dispatched, so it can be replaced like a
    // released one.
    const bool notRun = found->state == OrderState::NotRun
                        || (found->state == OrderState::Claimed
                            && this->outcomes.knowsNotRun(attempt->name, found->nonce));
    const bool mayClaim = notRun && found->bodyHash == attempt->claim.bodyHash;
    if (!mayClaim) {
        this->giveUp(attempt, this->outcomeOf(*found, attempt->claim), now);
        return;
    }
    attempt->expectedVersion = object.version;
    this->write(attempt);
}

ClaimOutcome OrderObjectLedger::outcomeOf(const OrderRecord &record, const OrderClaim &claim) const
{
    if (record.bodyHash != claim.bodyHash)
        return {ClaimResult::BodyMismatch, {}};
    switch (record.state) {
    case OrderState::Finished:
        return {ClaimResult::AlreadyFinished, record.answer};
    case OrderState::InDoubt:
        return {ClaimResult::OutcomeUnknown, {}};
    case OrderState::NotRun:
        return {ClaimResult::Unavailable, {}};
    case OrderState::Claimed:
        break;
    }
    const bool isOwnClaim =
            record.host == this->identity.host && record.incarnation == this->identity.incarnation;
    if (isOwnClaim || this->liveness.believedAlive(record.host, record.incarnation))
        return {ClaimResult::InProgress, {}};
    return {ClaimResult::OutcomeUnknown, {}};
}

void OrderObjectLedger::repeatLater(const AttemptPointer &attempt, TimePoint now)
{
    if (!attempt->retryDeadline)
        attempt->retryDeadline = std::min(now + ClaimRetryTimeout, attempt->claim.deadline);
    if (now + RetryInterval >= *attempt->retryDeadline || attempt->refused)
        this->giveUp(attempt, {ClaimResult::Unavailable, {}}, now);
    else
        attempt->due = now + RetryInterval;
}

void OrderObjectLedger::win(const AttemptPointer &attempt, std::uint64_t version, TimePoint now)
{
    this->attempts.erase(attempt->name);
    this->held[attempt->name] = {attempt->claim.request, attempt->record, version};
    this->heldNames[attempt->claim.request] = attempt->name;
    // The process may have been suspended during the call, so the deadline is checked against the
    // current time.
    const bool mustNotDispatch = now >= attempt->claim.deadline || attempt->refused;
    if (mustNotDispatch) {
        this->settle(attempt->name, OrderState::NotRun, {});
        attempt->callback({ClaimResult::Unavailable, {}}, now);
        return;
    }
    attempt->callback({ClaimResult::Claimed, {}}, now);
}

void OrderObjectLedger::giveUp(const AttemptPointer &attempt, const ClaimOutcome &outcome,
                               TimePoint now)
{
    this->attempts.erase(attempt->name);
    if (attempt->inDoubt) {
        // The claim with this nonce is never dispatched; records that as soon as it can be stored.
        attempt->record.state = OrderState::NotRun;
        this->outcomes.add({attempt->name, attempt->expectedVersion, attempt->record});
    }
    attempt->callback(outcome, now);
}

void OrderObjectLedger::settle(const std::string &name, OrderState state,
                               const ServiceAnswer &answer)
{
    const auto it = this->held.find(name);
    if (it == this->held.end())
        return;
    Held heldClaim = it->second;
    this->held.erase(it);
    this->heldNames.erase(heldClaim.request);
    heldClaim.record.state = state;
    heldClaim.record.answer = answer;
    this->outcomes.add({name, heldClaim.version, heldClaim.record});
}

} // namespace dotterel
