#include "gateway/collection_replica.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Time after which a request for an object is repeated if the peer does not respond.
constexpr Duration RequestRetryInterval = std::chrono::seconds(1);
/// Additional delay before a peer of another failure domain is asked. Peers that watch the store
/// see a change within a few tens of milliseconds of each other, so that a peer of this failure
/// domain usually announces it within this time.
constexpr Duration OtherDomainDelay = std::chrono::milliseconds(100);

} // namespace

CollectionReplica::CollectionReplica(Collection collection)
    : replicatedCollection(collection)
{}

bool CollectionReplica::isNewer(const CollectionObject &object) const
{
    const auto found = this->objects.find(object.name);
    return found == this->objects.end() || isLaterState(object, found->second);
}

std::vector<CollectionObject> CollectionReplica::onListed(const CollectionPage &page)
{
    std::set<std::string> present;
    for (const CollectionObject &object : page.objects)
        present.insert(object.name);
    std::vector<CollectionObject> changes = page.objects;
    for (const auto &[name, object] : this->objects) {
        // Objects that peers announced with a later revision than that of the list are kept.
        const bool precedesList = object.era < page.era
                                  || (object.era == page.era && object.revision < page.revision);
        if (!object.removed && present.count(name) == 0 && precedesList)
            changes.push_back({name, page.revision, true, "", page.era});
    }
    this->learnEra(page.era);
    return this->onChanged(changes);
}

std::vector<CollectionObject>
CollectionReplica::onChanged(const std::vector<CollectionObject> &changes)
{
    std::vector<CollectionObject> applied;
    for (const CollectionObject &object : changes) {
        if (!this->isNewer(object))
            continue;
        this->objects[object.name] = object;
        this->reportedOutdated.erase(object.name);
        const auto pending = this->pendingRequests.find(object.name);
        if (pending != this->pendingRequests.end()
            && !isLaterState(pending->second.announced, object))
            this->pendingRequests.erase(pending);
        applied.push_back(object);
    }
    return applied;
}

void CollectionReplica::disregardVersion(const std::string &name)
{
    const auto found = this->objects.find(name);
    if (found != this->objects.end())
        found->second.version = 0;
}

std::optional<CollectionObject> CollectionReplica::reportOutdated(const CollectionObject &object)
{
    const auto found = this->objects.find(object.name);
    if (found == this->objects.end() || !isLaterState(found->second, object)
        || !this->reportedOutdated.insert(object.name).second)
        return std::nullopt;
    return found->second;
}

std::vector<CollectionObject> CollectionReplica::onAnnounced(std::uint64_t link,
                                                             const ObjectAnnouncement &announcement,
                                                             TimePoint now, PeerLocality locality)
{
    const bool inSameDomain = locality == PeerLocality::SameDomain;
    const TimePoint due =
            now + this->requestDelay + (inSameDomain ? Duration::zero() : OtherDomainDelay);
    std::vector<CollectionObject> removals;
    for (const AnnouncedObject &announced : announcement.objects) {
        const CollectionObject object{announced.name, announced.revision, announced.removed, "",
                                      announced.era,  announced.version};
        if (!this->isNewer(object))
            continue;
        if (object.removed) {
            removals.push_back(object);
            continue;
        }
        const auto [position, isFirst] = this->pendingRequests.try_emplace(announced.name);
        PendingRequest &entry = position->second;
        if (!isFirst && isLaterState(entry.announced, object))
            continue;
        if (isFirst || isLaterState(object, entry.announced)) {
            entry = PendingRequest();
            entry.announced = object;
            entry.due = due;
        } else if (inSameDomain && !entry.sameDomainLink) {
            entry.due = std::min(entry.due, due);
        }
        // The latest announcing peer is asked: the previous one may have disconnected.
        (inSameDomain ? entry.sameDomainLink : entry.otherDomainLink) = link;
    }
    return this->onChanged(removals);
}

std::vector<std::pair<std::uint64_t, ObjectRequest>>
CollectionReplica::takeDueRequests(TimePoint now)
{
    std::map<std::uint64_t, ObjectRequest> byLink;
    for (auto &[name, entry] : this->pendingRequests) {
        if (entry.due > now)
            continue;
        const bool useOtherDomain =
                entry.otherDomainLink && (entry.sameDomainAsked || !entry.sameDomainLink);
        entry.sameDomainAsked = !useOtherDomain;
        ObjectRequest &request =
                byLink[useOtherDomain ? *entry.otherDomainLink : *entry.sameDomainLink];
        request.collection = static_cast<std::uint8_t>(this->replicatedCollection);
        request.names.push_back(name);
        entry.due = now + RequestRetryInterval;
    }
    return {byLink.begin(), byLink.end()};
}

std::optional<TimePoint> CollectionReplica::nextRequestDue() const
{
    std::optional<TimePoint> earliestDue;
    for (const auto &[name, entry] : this->pendingRequests) {
        if (!earliestDue || entry.due < *earliestDue)
            earliestDue = entry.due;
    }
    return earliestDue;
}

ObjectAnnouncement
CollectionReplica::announcement(const std::vector<CollectionObject> &changed) const
{
    ObjectAnnouncement result;
    result.collection = static_cast<std::uint8_t>(this->replicatedCollection);
    for (const CollectionObject &object : changed)
        result.objects.push_back(
                {object.name, object.revision, object.removed, object.era, object.version});
    return result;
}

ObjectAnnouncement CollectionReplica::fullAnnouncement() const
{
    std::vector<CollectionObject> all;
    for (const auto &[name, object] : this->objects)
        all.push_back({name, object.revision, object.removed, "", object.era, object.version});
    return this->announcement(all);
}

ObjectOffer CollectionReplica::offerFor(const ObjectRequest &request) const
{
    ObjectOffer result;
    result.collection = static_cast<std::uint8_t>(this->replicatedCollection);
    for (const std::string &name : request.names) {
        const auto found = this->objects.find(name);
        if (found != this->objects.end())
            result.objects.push_back({found->second.name, found->second.revision,
                                      found->second.removed, found->second.text, found->second.era,
                                      found->second.version});
    }
    return result;
}

} // namespace dotterel
