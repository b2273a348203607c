#include "coordination/order_object_ledger.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Time between two tries of a claim, and from the first failure until it is given up. The caller
/// then hears that the order was not run and when to ask again.
constexpr Duration RepeatPause = std::chrono::milliseconds(10);
constexpr Duration Patience = std::chrono::milliseconds(500);

/// Bound on outcomes that wait for the object API; beyond it new orders are refused.
constexpr std::size_t MostUnsettled = 4'096;

} // namespace

/// A claim that is being written.
struct OrderObjectLedger::Attempt
{
    OrderClaim claim;
    std::string name;
    OrderRecord record;
    ClaimCallback callback;
    std::uint64_t expectedVersion = 0;
    bool inDoubt = false; ///< A write at expectedVersion has an unknown outcome.
    bool refused = false; ///< The caller already has its final answer.
    std::optional<TimePoint> due;
    std::optional<TimePoint> patienceEnds;
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
    const auto row = this->heldNames.find(request);
    if (row != this->heldNames.end()) {
        const std::string name = row->second;
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
    std::deque<Ready> answers;
    answers.swap(this->ready);
    for (const Ready &answer : answers)
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
    const auto holding = this->held.find(name);
    if (holding != this->held.end())
        return this->outcomeOf(holding->second.record, claim);
    const OrderRecord *outcome = this->outcomes.find(name);
    if (outcome != nullptr && outcome->state != OrderState::NotRun)
        return this->outcomeOf(*outcome, claim);
    if (this->outcomes.size() >= MostUnsettled)
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
        // The read is stale, or shows what the claim is to replace.
        this->repeatLater(attempt, now);
        return;
    }
    // The version that the claim asked for has passed, so no earlier write of it can take effect.
    attempt->inDoubt = false;
    // Nobody dispatches a claim that its holder gave up, so it is replaced like a released one.
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
    const bool own =
            record.host == this->identity.host && record.incarnation == this->identity.incarnation;
    if (own || this->liveness.believedAlive(record.host, record.incarnation))
        return {ClaimResult::InProgress, {}};
    return {ClaimResult::OutcomeUnknown, {}};
}

void OrderObjectLedger::repeatLater(const AttemptPointer &attempt, TimePoint now)
{
    if (!attempt->patienceEnds)
        attempt->patienceEnds = std::min(now + Patience, attempt->claim.deadline);
    if (now + RepeatPause >= *attempt->patienceEnds || attempt->refused)
        this->giveUp(attempt, {ClaimResult::Unavailable, {}}, now);
    else
        attempt->due = now + RepeatPause;
}

void OrderObjectLedger::win(const AttemptPointer &attempt, std::uint64_t version, TimePoint now)
{
    this->attempts.erase(attempt->name);
    this->held[attempt->name] = {attempt->claim.request, attempt->record, version};
    this->heldNames[attempt->claim.request] = attempt->name;
    // The host may have been stopped since the call; only the time that is read now counts.
    const bool tooLate = now >= attempt->claim.deadline || attempt->refused;
    if (tooLate) {
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
        // This nonce is never dispatched, and the record says so as soon as it can be written.
        attempt->record.state = OrderState::NotRun;
        this->outcomes.add({attempt->name, attempt->expectedVersion, attempt->record});
    }
    attempt->callback(outcome, now);
}

void OrderObjectLedger::settle(const std::string &name, OrderState state,
                               const ServiceAnswer &answer)
{
    const auto row = this->held.find(name);
    if (row == this->held.end())
        return;
    Held holding = row->second;
    this->held.erase(row);
    this->heldNames.erase(holding.request);
    holding.record.state = state;
    holding.record.answer = answer;
    this->outcomes.add({name, holding.version, holding.record});
}

} // namespace dotterel
