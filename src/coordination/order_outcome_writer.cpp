#include "coordination/order_outcome_writer.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration MinRetryDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);

/// Delay before the outcome of a peer is written. Usually the peer itself has stored it by then.
constexpr Duration AdoptionDelay = std::chrono::seconds(3);

/// Maximum number of pending outcomes at which those of peers are still accepted; beyond it, only
/// the peers themselves store them.
constexpr std::size_t MaxOutcomesForAdoption = 8'192;

std::string entryId(const OrderOutcome &outcome)
{
    return outcome.name + '/' + outcome.record.nonce;
}

} // namespace

std::string orderObjectKey(const std::string &name)
{
    return "orders/" + name;
}

OrderOutcomeWriter::OrderOutcomeWriter(ObjectStore &store, OrderOutcomeReplicator &replicator,
                                       EventLog &log)
    : store(store)
    , replicator(replicator)
    , log(log)
{}

void OrderOutcomeWriter::add(const OrderOutcome &outcome)
{
    const std::string id = entryId(outcome);
    const bool added =
            this->entries.emplace(id, Entry{outcome, std::nullopt, MinRetryDelay, false}).second;
    if (added)
        this->writeOutcome(id);
}

void OrderOutcomeWriter::adoptOutcome(const OrderOutcome &outcome, TimePoint now)
{
    if (this->entries.size() < MaxOutcomesForAdoption)
        this->entries.emplace(entryId(outcome),
                              Entry{outcome, now + AdoptionDelay, MinRetryDelay, true});
}

const OrderRecord *OrderOutcomeWriter::findOutcome(const std::string &name) const
{
    const auto it = this->entries.lower_bound(name + '/');
    if (it == this->entries.end() || it->second.outcome.name != name)
        return nullptr;
    return &it->second.outcome.record;
}

bool OrderOutcomeWriter::isKnownNotRun(const std::string &name, const std::string &nonce) const
{
    const auto it = this->entries.find(name + '/' + nonce);
    return it != this->entries.end() && it->second.outcome.record.state == OrderState::NotRun;
}

void OrderOutcomeWriter::onTimer(TimePoint now)
{
    std::vector<std::string> dueIds;
    for (auto &[id, entry] : this->entries) {
        if (entry.retryAt && *entry.retryAt <= now)
            dueIds.push_back(id);
    }
    for (const std::string &id : dueIds) {
        this->entries.at(id).retryAt.reset();
        this->writeOutcome(id);
    }
}

std::optional<TimePoint> OrderOutcomeWriter::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : this->entries) {
        if (entry.retryAt && (!next || *entry.retryAt < *next))
            next = entry.retryAt;
    }
    return next;
}

void OrderOutcomeWriter::writeOutcome(const std::string &id)
{
    const OrderOutcome &outcome = this->entries.at(id).outcome;
    this->store.write(orderObjectKey(outcome.name), encodeOrderRecord(outcome.record),
                      outcome.version,
                      [this, id](const ObjectStore::WriteResult &result, TimePoint now) {
                          if (result)
                              this->removeEntry(id);
                          else if (result.error() == StoreError::Conflict)
                              this->readRecord(id);
                          else
                              this->scheduleRetry(id, now);
                      });
}

void OrderOutcomeWriter::readRecord(const std::string &id)
{
    this->store.read(orderObjectKey(this->entries.at(id).outcome.name),
                     [this, id](const ObjectStore::ReadResult &result, TimePoint now) {
                         if (result)
                             this->onRecordRead(id, *result, now);
                         else
                             this->scheduleRetry(id, now);
                     });
}

void OrderOutcomeWriter::onRecordRead(const std::string &id, const StoredObject &object,
                                      TimePoint now)
{
    OrderOutcome &outcome = this->entries.at(id).outcome;
    const std::optional<OrderRecord> found = decodeOrderRecord(object.value);
    const bool isSameClaim = found && found->nonce == outcome.record.nonce;
    if (isSameClaim && found->state == OrderState::Claimed) {
        // The write of the claim has taken effect. If this read is stale, the next write conflicts
        // again.
        outcome.version = object.version;
        this->scheduleRetry(id, now);
    } else if (isSameClaim || object.version > outcome.version) {
        // The outcome is stored, or the object has moved past the expected version without the
        // claim.
        this->removeEntry(id);
    } else {
        this->scheduleRetry(id, now);
    }
}

void OrderOutcomeWriter::scheduleRetry(const std::string &id, TimePoint now)
{
    Entry &entry = this->entries.at(id);
    entry.retryAt = now + entry.retryDelay;
    entry.retryDelay = std::min(entry.retryDelay * 2, MaxRetryDelay);
    if (entry.replicated)
        return;
    entry.replicated = true;
    this->replicator.replicateOutcome(entry.outcome);
}

void OrderOutcomeWriter::removeEntry(const std::string &id)
{
    const auto it = this->entries.find(id);
    this->log.write(Event::OrderOutcomeRecorded,
                    {{"order", it->second.outcome.name},
                     {"state", std::string(orderStateName(it->second.outcome.record.state))}});
    this->entries.erase(it);
}

} // namespace dotterel
