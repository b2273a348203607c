#include "coordination/order_outcome_writer.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration ShortestPause = std::chrono::milliseconds(20);
constexpr Duration LongestPause = std::chrono::seconds(2);

} // namespace

std::string orderObjectKey(const std::string &name)
{
    return "orders/" + name;
}

OrderOutcomeWriter::OrderOutcomeWriter(ObjectStore &store, EventLog &log)
    : store(store)
    , log(log)
{}

void OrderOutcomeWriter::add(const std::string &name, const OrderRecord &record,
                             std::uint64_t version)
{
    const std::string id = name + '/' + record.nonce;
    const bool added =
            this->entries.emplace(id, Entry{name, record, version, std::nullopt, ShortestPause})
                    .second;
    if (added)
        this->write(id);
}

const OrderRecord *OrderOutcomeWriter::find(const std::string &name) const
{
    const auto row = this->entries.lower_bound(name + '/');
    if (row == this->entries.end() || row->second.name != name)
        return nullptr;
    return &row->second.record;
}

void OrderOutcomeWriter::onTimer(TimePoint now)
{
    std::vector<std::string> ready;
    for (auto &[id, entry] : this->entries) {
        if (entry.due && *entry.due <= now)
            ready.push_back(id);
    }
    for (const std::string &id : ready) {
        this->entries.at(id).due.reset();
        this->write(id);
    }
}

std::optional<TimePoint> OrderOutcomeWriter::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : this->entries) {
        if (entry.due && (!next || *entry.due < *next))
            next = entry.due;
    }
    return next;
}

void OrderOutcomeWriter::write(const std::string &id)
{
    const Entry &entry = this->entries.at(id);
    this->store.write(orderObjectKey(entry.name), encodeOrderRecord(entry.record), entry.version,
                      [this, id](const ObjectStore::WriteResult &result, TimePoint now) {
                          if (result)
                              this->finish(id);
                          else if (result.error() == StoreError::Conflict)
                              this->readBack(id);
                          else
                              this->repeatLater(id, now);
                      });
}

void OrderOutcomeWriter::readBack(const std::string &id)
{
    this->store.read(orderObjectKey(this->entries.at(id).name),
                     [this, id](const ObjectStore::ReadResult &result, TimePoint now) {
                         if (result)
                             this->compare(id, *result, now);
                         else
                             this->repeatLater(id, now);
                     });
}

void OrderOutcomeWriter::compare(const std::string &id, const StoredObject &object, TimePoint now)
{
    Entry &entry = this->entries.at(id);
    const std::optional<OrderRecord> found = decodeOrderRecord(object.value);
    const bool own = found && found->nonce == entry.record.nonce;
    if (own && found->state == OrderState::Claimed) {
        // The claim's own write had taken effect after all. The read may be stale, and then the
        // next write conflicts again.
        entry.version = object.version;
        this->repeatLater(id, now);
    } else if (own || object.version > entry.version) {
        // The outcome is stored, or the version that the claim asked for has passed without it.
        this->finish(id);
    } else {
        this->repeatLater(id, now);
    }
}

void OrderOutcomeWriter::repeatLater(const std::string &id, TimePoint now)
{
    Entry &entry = this->entries.at(id);
    entry.due = now + entry.pause;
    entry.pause = std::min(entry.pause * 2, LongestPause);
}

void OrderOutcomeWriter::finish(const std::string &id)
{
    const auto row = this->entries.find(id);
    this->log.write(Event::OrderOutcomeRecorded,
                    {{"order", row->second.name},
                     {"state", std::string(orderStateName(row->second.record.state))}});
    this->entries.erase(row);
}

} // namespace dotterel
