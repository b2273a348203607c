#include "gateway/shared_objects.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Time after which an unanswered request for an object is repeated.
constexpr Duration AskAgain = std::chrono::seconds(1);
/// Additional delay before a peer of another failure domain is asked. Peers that watch the store
/// see a change within a few tens of milliseconds of each other, so that a peer of this failure
/// domain usually announces it within this time.
constexpr Duration FarDelay = std::chrono::milliseconds(100);

} // namespace

SharedObjects::SharedObjects(Collection collection)
    : which(collection)
{}

bool SharedObjects::isNews(const CollectedObject &object) const
{
    const auto found = this->objects.find(object.name);
    if (found == this->objects.end() || found->second.revision < object.revision)
        return true;
    // The exact revision of a removal is not known, only a bound for it, so that an object that is
    // written again may have the revision recorded for its removal.
    return found->second.revision == object.revision && found->second.removed && !object.removed;
}

std::vector<CollectedObject> SharedObjects::onListed(const CollectedPage &page)
{
    std::set<std::string> present;
    for (const CollectedObject &object : page.objects)
        present.insert(object.name);
    std::vector<CollectedObject> changes = page.objects;
    for (const auto &[name, object] : this->objects) {
        // Objects that peers announced with a later revision than that of the list are kept.
        if (!object.removed && present.count(name) == 0 && object.revision < page.revision)
            changes.push_back({name, page.revision, true, ""});
    }
    return this->onChanged(changes);
}

std::vector<CollectedObject> SharedObjects::onChanged(const std::vector<CollectedObject> &changes)
{
    std::vector<CollectedObject> news;
    for (const CollectedObject &object : changes) {
        if (!this->isNews(object))
            continue;
        this->objects[object.name] = object;
        const auto asked = this->wanted.find(object.name);
        if (asked != this->wanted.end() && asked->second.revision <= object.revision)
            this->wanted.erase(asked);
        news.push_back(object);
    }
    return news;
}

std::vector<CollectedObject> SharedObjects::onAnnounced(std::uint64_t link,
                                                        const ObjectAnnouncement &announcement,
                                                        TimePoint now, PeerPlace place)
{
    const bool isNear = place == PeerPlace::SameDomain;
    const TimePoint due = now + this->askDelay + (isNear ? Duration::zero() : FarDelay);
    std::vector<CollectedObject> removals;
    for (const AnnouncedObject &announced : announcement.objects) {
        const CollectedObject object{announced.name, announced.revision, announced.removed, ""};
        if (!this->isNews(object))
            continue;
        if (object.removed) {
            removals.push_back(object);
            continue;
        }
        Wanted &entry = this->wanted[announced.name];
        if (entry.revision > announced.revision)
            continue;
        if (entry.revision < announced.revision) {
            entry = Wanted();
            entry.revision = announced.revision;
            entry.due = due;
        } else if (isNear && !entry.nearLink) {
            entry.due = std::min(entry.due, due);
        }
        // The peer that announced it before may be gone.
        (isNear ? entry.nearLink : entry.farLink) = link;
    }
    return this->onChanged(removals);
}

std::vector<std::pair<std::uint64_t, ObjectRequest>> SharedObjects::takeWanted(TimePoint now)
{
    std::map<std::uint64_t, ObjectRequest> byLink;
    for (auto &[name, entry] : this->wanted) {
        if (entry.due > now)
            continue;
        const bool asksFar = entry.farLink && (entry.askFar || !entry.nearLink);
        entry.askFar = !asksFar;
        ObjectRequest &request = byLink[asksFar ? *entry.farLink : *entry.nearLink];
        request.collection = static_cast<std::uint8_t>(this->which);
        request.names.push_back(name);
        entry.due = now + AskAgain;
    }
    return {byLink.begin(), byLink.end()};
}

std::optional<TimePoint> SharedObjects::nextWanted() const
{
    std::optional<TimePoint> next;
    for (const auto &[name, entry] : this->wanted) {
        if (!next || entry.due < *next)
            next = entry.due;
    }
    return next;
}

ObjectAnnouncement SharedObjects::announcement(const std::vector<CollectedObject> &changed) const
{
    ObjectAnnouncement result;
    result.collection = static_cast<std::uint8_t>(this->which);
    for (const CollectedObject &object : changed)
        result.objects.push_back({object.name, object.revision, object.removed});
    return result;
}

ObjectAnnouncement SharedObjects::announceAll() const
{
    std::vector<CollectedObject> all;
    for (const auto &[name, object] : this->objects)
        all.push_back({name, object.revision, object.removed, ""});
    return this->announcement(all);
}

ObjectOffer SharedObjects::offer(const ObjectRequest &request) const
{
    ObjectOffer result;
    result.collection = static_cast<std::uint8_t>(this->which);
    for (const std::string &name : request.names) {
        const auto found = this->objects.find(name);
        if (found != this->objects.end())
            result.objects.push_back({found->second.name, found->second.revision,
                                      found->second.removed, found->second.text});
    }
    return result;
}

} // namespace dotterel
