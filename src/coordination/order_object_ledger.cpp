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
constexpr std::size_t MaxPendingOutcomes = 4'096;

} // namespace

/// A claim whose write is in progress.
struct OrderObjectLedger::ClaimAttempt
{
    OrderClaim claim;
    std::string name;
    OrderRecord record;
    ClaimCallback callback;
    std::uint64_t expectedVersion = 0;
    bool inDoubt = false; ///< True if a write at expectedVersion has an unknown outcome.
    bool refused = false; ///< True if the caller has already received its final answer.
    std::optional<TimePoint> retryAt;
    std::optional<TimePoint> retryDeadline;
};

OrderObjectLedger::OrderObjectLedger(HostIdentity identity, ObjectStore &store,
                                     const HostLiveness &liveness,
                                     OrderOutcomeReplicator &replicator, RandomSource &random,
                                     EventLog &log)
    : identity(std::move(identity))
    , store(store)
    , liveness(liveness)
    , random(random)
    , outcomes(store, replicator, log)
{}

OrderObjectLedger::~OrderObjectLedger() = default;

void OrderObjectLedger::claim(const OrderClaim &claim, const ClaimCallback &callback)
{
    const std::string name = orderName(claim);
    const std::optional<ClaimOutcome> known = this->knownOutcome(claim, name);
    if (known) {
        this->immediateOutcomes.push_back({callback, *known});
        return;
    }
    const ClaimAttemptPointer attempt = std::make_shared<ClaimAttempt>();
    attempt->claim = claim;
    attempt->name = name;
    attempt->callback = callback;
    attempt->record.host = this->identity.host;
    attempt->record.incarnation = this->identity.incarnation;
    attempt->record.nonce = toHex(this->random.next()) + toHex(this->random.next());
    attempt->record.bodyHash = claim.bodyHash;
    this->attempts[name] = attempt;
    this->writeClaim(attempt);
}

void OrderObjectLedger::recordAnswer(const OrderClaim &claim, const ServiceAnswer &answer)
{
    this->recordOutcome(orderName(claim), OrderState::Finished, recordableAnswer(answer));
}

void OrderObjectLedger::recordNotRun(const OrderClaim &claim)
{
    this->recordOutcome(orderName(claim), OrderState::NotRun, {});
}

void OrderObjectLedger::onRequestRefused(const RequestId &request, Verdict verdict)
{
    const auto it = this->heldOrderNames.find(request);
    if (it != this->heldOrderNames.end()) {
        const std::string name = it->second;
        this->recordOutcome(
                name, verdict == Verdict::NotRun ? OrderState::NotRun : OrderState::InDoubt, {});
        return;
    }
    for (const auto &[name, attempt] : this->attempts)
        attempt->refused = attempt->refused || attempt->claim.request == request;
}

void OrderObjectLedger::adoptOutcome(const OrderOutcome &outcome, TimePoint now)
{
    this->outcomes.adoptOutcome(outcome, now);
}

void OrderObjectLedger::onTimer(TimePoint now)
{
    std::deque<ImmediateOutcome> outcomesToReport;
    outcomesToReport.swap(this->immediateOutcomes);
    for (const ImmediateOutcome &immediate : outcomesToReport)
        immediate.callback(immediate.outcome, now);
    std::vector<ClaimAttemptPointer> due;
    for (const auto &[name, attempt] : this->attempts) {
        if (attempt->retryAt && *attempt->retryAt <= now)
            due.push_back(attempt);
    }
    for (const ClaimAttemptPointer &attempt : due) {
        attempt->retryAt.reset();
        this->writeClaim(attempt);
    }
    this->outcomes.onTimer(now);
}

std::optional<TimePoint> OrderObjectLedger::nextTimer() const
{
    if (!this->immediateOutcomes.empty())
        return TimePoint{};
    std::optional<TimePoint> next = this->outcomes.nextTimer();
    for (const auto &[name, attempt] : this->attempts) {
        if (attempt->retryAt && (!next || *attempt->retryAt < *next))
            next = attempt->retryAt;
    }
    return next;
}

std::optional<ClaimOutcome> OrderObjectLedger::knownOutcome(const OrderClaim &claim,
                                                            const std::string &name) const
{
    const auto attempt = this->attempts.find(name);
    if (attempt != this->attempts.end())
        return this->outcomeForRecord(attempt->second->record, claim);
    const auto heldClaim = this->heldClaims.find(name);
    if (heldClaim != this->heldClaims.end())
        return this->outcomeForRecord(heldClaim->second.record, claim);
    const OrderRecord *outcome = this->outcomes.findOutcome(name);
    if (outcome != nullptr && outcome->state != OrderState::NotRun)
        return this->outcomeForRecord(*outcome, claim);
    if (this->outcomes.size() >= MaxPendingOutcomes)
        return ClaimOutcome{ClaimResult::Unavailable, {}};
    return std::nullopt;
}

void OrderObjectLedger::writeClaim(const ClaimAttemptPointer &attempt)
{
    this->store.write(orderObjectKey(attempt->name), encodeOrderRecord(attempt->record),
                      attempt->expectedVersion,
                      [this, attempt](const ObjectStore::WriteResult &result, TimePoint now) {
                          if (result) {
                              this->onClaimed(attempt, *result, now);
                          } else if (result.error() == StoreError::Conflict) {
                              this->readClaim(attempt);
                          } else if (result.error() == StoreError::UnknownOutcome) {
                              attempt->inDoubt = true;
                              this->readClaim(attempt);
                          } else if (attempt->inDoubt) {
                              this->scheduleRetry(attempt, now);
                          } else {
                              this->abandonClaim(attempt, {ClaimResult::Unavailable, {}}, now);
                          }
                      });
}

void OrderObjectLedger::readClaim(const ClaimAttemptPointer &attempt)
{
    this->store.read(orderObjectKey(attempt->name),
                     [this, attempt](const ObjectStore::ReadResult &result, TimePoint now) {
                         const bool absent = !result && result.error() == StoreError::NotFound;
                         if (result)
                             this->onRecordRead(attempt, *result, now);
                         else if (absent || attempt->inDoubt)
                             this->scheduleRetry(attempt, now);
                         else
                             this->abandonClaim(attempt, {ClaimResult::Unavailable, {}}, now);
                     });
}

void OrderObjectLedger::onRecordRead(const ClaimAttemptPointer &attempt, const StoredObject &object,
                                     TimePoint now)
{
    const std::optional<OrderRecord> found = decodeOrderRecord(object.value);
    if (!found) {
        this->abandonClaim(attempt, {ClaimResult::OutcomeUnknown, {}}, now);
        return;
    }
    if (found->nonce == attempt->record.nonce) {
        this->onClaimed(attempt, object.version, now);
        return;
    }
    if (object.version <= attempt->expectedVersion) {
        // The read is stale, or returned the record that the claim replaces.
        this->scheduleRetry(attempt, now);
        return;
    }
    // The object has moved past the expected version, so no earlier write of this claim can take
    // effect.
    attempt->inDoubt = false;
    // A claim that its holder has abandoned is never dispatched, so it can be replaced like a
    // released one.
    const bool notRun = found->state == OrderState::NotRun
                        || (found->state == OrderState::Claimed
                            && this->outcomes.isKnownNotRun(attempt->name, found->nonce));
    const bool mayClaim = notRun && found->bodyHash == attempt->claim.bodyHash;
    if (!mayClaim) {
        this->abandonClaim(attempt, this->outcomeForRecord(*found, attempt->claim), now);
        return;
    }
    attempt->expectedVersion = object.version;
    this->writeClaim(attempt);
}

ClaimOutcome OrderObjectLedger::outcomeForRecord(const OrderRecord &record,
                                                 const OrderClaim &claim) const
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
    if (isOwnClaim || this->liveness.isBelievedAlive(record.host, record.incarnation))
        return {ClaimResult::InProgress, {}};
    return {ClaimResult::OutcomeUnknown, {}};
}

void OrderObjectLedger::scheduleRetry(const ClaimAttemptPointer &attempt, TimePoint now)
{
    if (!attempt->retryDeadline)
        attempt->retryDeadline = std::min(now + ClaimRetryTimeout, attempt->claim.deadline);
    if (now + RetryInterval >= *attempt->retryDeadline || attempt->refused)
        this->abandonClaim(attempt, {ClaimResult::Unavailable, {}}, now);
    else
        attempt->retryAt = now + RetryInterval;
}

void OrderObjectLedger::onClaimed(const ClaimAttemptPointer &attempt, std::uint64_t version,
                                  TimePoint now)
{
    this->attempts.erase(attempt->name);
    this->heldClaims[attempt->name] = {attempt->claim.request, attempt->record, version};
    this->heldOrderNames[attempt->claim.request] = attempt->name;
    // The process may have been suspended during the call, so the deadline is checked against the
    // current time.
    const bool mustNotDispatch = now >= attempt->claim.deadline || attempt->refused;
    if (mustNotDispatch) {
        this->recordOutcome(attempt->name, OrderState::NotRun, {});
        attempt->callback({ClaimResult::Unavailable, {}}, now);
        return;
    }
    attempt->callback({ClaimResult::Claimed, {}}, now);
}

void OrderObjectLedger::abandonClaim(const ClaimAttemptPointer &attempt,
                                     const ClaimOutcome &outcome, TimePoint now)
{
    this->attempts.erase(attempt->name);
    if (attempt->inDoubt) {
        // The claim with this nonce is never dispatched; records that as soon as it can be stored.
        attempt->record.state = OrderState::NotRun;
        this->outcomes.add({attempt->name, attempt->expectedVersion, attempt->record});
    }
    attempt->callback(outcome, now);
}

void OrderObjectLedger::recordOutcome(const std::string &name, OrderState state,
                                      const ServiceAnswer &answer)
{
    const auto it = this->heldClaims.find(name);
    if (it == this->heldClaims.end())
        return;
    HeldClaim heldClaim = it->second;
    this->heldClaims.erase(it);
    this->heldOrderNames.erase(heldClaim.request);
    heldClaim.record.state = state;
    heldClaim.record.answer = answer;
    this->outcomes.add({name, heldClaim.version, heldClaim.record});
}

} // namespace dotterel
