#include "gateway/domain_service.h"

#include <algorithm>

namespace dotterel {

DomainService::DomainService(const DomainServiceTimings &timings, EventLog &log)
    : timings(timings)
    , log(log)
{}

bool DomainService::apply(const std::vector<CollectionObject> &changes, std::string_view source,
                          TimePoint now)
{
    bool changed = false;
    for (const CollectionObject &object : changes) {
        if (object.name.empty()) {
            this->log.write(
                    Event::ObjectRejected,
                    {{"collection", std::string(collectionName(Collection::DomainsOutOfService))},
                     {"object", object.name},
                     {"revision", static_cast<std::int64_t>(object.revision)},
                     {"error", std::string("names no failure domain")}});
            continue;
        }
        const bool applied =
                object.removed ? this->remove(object, source, now) : this->add(object, source, now);
        changed = changed || applied;
    }
    return changed;
}

bool DomainService::add(const CollectionObject &object, std::string_view source, TimePoint now)
{
    const auto [position, isNew] = this->entries.try_emplace(object.name);
    Entry &entry = position->second;
    entry.revision = object.revision;
    entry.era = object.era;
    entry.lostUntil.reset();
    if (!isNew)
        return false;
    entry.since = now;
    this->log.write(Event::DomainOutOfService,
                    {{"domain", object.name},
                     {"source", std::string(source)},
                     {"revision", static_cast<std::int64_t>(object.revision)},
                     {"era", static_cast<std::int64_t>(object.era)}});
    return true;
}

bool DomainService::remove(const CollectionObject &object, std::string_view source, TimePoint now)
{
    const auto found = this->entries.find(object.name);
    if (found == this->entries.end())
        return false;
    Entry &entry = found->second;
    // An entry that was never seen in the later era was lost with the store, not removed by an
    // operator. Too little load for a while costs less than requests to a domain that is to be
    // empty.
    if (object.era > entry.era) {
        if (!entry.lostUntil) {
            entry.lostUntil = now + this->timings.lostEntryGrace;
            this->log.write(
                    Event::DomainEntryLost,
                    {{"domain", object.name},
                     {"source", std::string(source)},
                     {"revision", static_cast<std::int64_t>(entry.revision)},
                     {"era", static_cast<std::int64_t>(object.era)},
                     {"kept_ms", this->timings.lostEntryGrace / std::chrono::milliseconds(1)}});
        }
        return false;
    }
    this->logInService(object.name, entry, source, object.revision, now);
    this->entries.erase(found);
    return true;
}

std::optional<TimePoint> DomainService::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const auto &[domain, entry] : this->entries) {
        if (entry.lostUntil && (!next || *entry.lostUntil < *next))
            next = entry.lostUntil;
    }
    return next;
}

bool DomainService::onTimer(TimePoint now)
{
    bool changed = false;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        if (!entry->second.lostUntil || *entry->second.lostUntil > now) {
            ++entry;
            continue;
        }
        this->logInService(entry->first, entry->second, "entry_lost", entry->second.revision, now);
        entry = this->entries.erase(entry);
        changed = true;
    }
    return changed;
}

std::set<std::string> DomainService::outOfService() const
{
    std::set<std::string> domains;
    for (const auto &[domain, entry] : this->entries)
        domains.insert(domain);
    return domains;
}

void DomainService::logInService(const std::string &domain, const Entry &entry,
                                 std::string_view source, std::uint64_t revision, TimePoint now)
{
    this->log.write(Event::DomainInService,
                    {{"domain", domain},
                     {"source", std::string(source)},
                     {"revision", static_cast<std::int64_t>(revision)},
                     {"out_ms", (now - entry.since) / std::chrono::milliseconds(1)}});
}

} // namespace dotterel
