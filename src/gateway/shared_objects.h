#pragma once

#include "protocol/peer_message.h"
#include "state/collection_store.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Where a peer runs, seen from this host. Bytes between failure domains are priced.
enum class PeerPlace {
    SameDomain,
    OtherDomain,
};

/// The objects of one collection as this host knows them, from the store and from other hosts, so
/// that a host which the store turns away still learns. The highest revision of an object wins;
/// nothing goes back. Pure.
class SharedObjects
{
public:
    explicit SharedObjects(Collection collection);

    /// Takes over the whole collection as the store listed it. Returns what is new here.
    std::vector<CollectedObject> onListed(const CollectedPage &page);

    /// Takes over \a changes, from the store or a peer. Returns what is new here.
    std::vector<CollectedObject> onChanged(const std::vector<CollectedObject> &changes);

    /// A peer told what it knows. Returns removals that are new here; what else is newer there is
    /// asked for by takeWanted() if the store does not bring it first. A peer in the same failure
    /// domain is asked before others.
    std::vector<CollectedObject> onAnnounced(std::uint64_t link,
                                             const ObjectAnnouncement &announcement, TimePoint now,
                                             PeerPlace place);

    /// Sets how long the store has to bring what a peer announced before the peer is asked.
    void setAskDelay(Duration delay) { this->askDelay = delay; }

    /// Returns requests that are due, by link.
    std::vector<std::pair<std::uint64_t, ObjectRequest>> takeWanted(TimePoint now);

    /// When takeWanted() is due next, if ever.
    std::optional<TimePoint> nextWanted() const;

    /// Returns what a peer needs to see whether it lacks something.
    ObjectAnnouncement announcement(const std::vector<CollectedObject> &objects) const;

    /// Returns the announcement of all objects.
    ObjectAnnouncement announceAll() const;

    /// Answers \a request as far as the objects are known.
    ObjectOffer offer(const ObjectRequest &request) const;

    /// Which collection this is.
    Collection collection() const { return this->which; }

    /// Returns true if no object was ever seen.
    bool empty() const { return this->objects.empty(); }

private:
    struct Wanted
    {
        std::uint64_t revision = 0;
        std::optional<std::uint64_t> nearLink; ///< Announced it last, of this failure domain.
        std::optional<std::uint64_t> farLink;  ///< The same, of another one.
        bool askFar = false;                   ///< The near one was asked and has not answered.
        TimePoint due;
    };

    bool isNews(const CollectedObject &object) const;

    Collection which;
    Duration askDelay = std::chrono::milliseconds(250);
    std::map<std::string, CollectedObject> objects; ///< Removed ones stay with their revision.
    std::map<std::string, Wanted> wanted;
};

} // namespace dotterel
