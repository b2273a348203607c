#pragma once

#include "protocol/peer_message.h"
#include "state/collection_store.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Failure domain of a peer relative to this host. Traffic between failure domains is charged.
enum class PeerLocality {
    SameDomain,
    OtherDomain,
};

/// Local replica of one collection, updated from the store and from peers, so that a host that the
/// store rejects still receives changes. The highest revision of an object wins; an object never
/// goes back to a lower one. Performs no I/O.
class CollectionReplica
{
public:
    explicit CollectionReplica(Collection collection);

    /// Applies a complete list from the store. Returns the objects that changed.
    std::vector<CollectionObject> onListed(const CollectionPage &page);

    /// Applies \a changes from the store or a peer. Returns the objects that changed.
    std::vector<CollectionObject> onChanged(const std::vector<CollectionObject> &changes);

    /// Handles the announcement of a peer. Applies and returns the removals that are new. Other
    /// objects that are newer at the peer are requested by takeDueRequests() unless the store
    /// delivers them first, preferably from a peer in the same failure domain.
    std::vector<CollectionObject> onAnnounced(std::uint64_t link,
                                              const ObjectAnnouncement &announcement, TimePoint now,
                                              PeerLocality locality);

    /// Sets how long to wait for the store to deliver an announced object before asking the peer.
    void setRequestDelay(Duration delay) { this->requestDelay = delay; }

    /// Returns requests that are due, by link.
    std::vector<std::pair<std::uint64_t, ObjectRequest>> takeDueRequests(TimePoint now);

    /// Returns when takeDueRequests() is due next; nullopt if no object is awaited.
    std::optional<TimePoint> nextRequestDue() const;

    /// Returns the revisions of \a objects, from which a peer sees whether it lacks a change.
    ObjectAnnouncement announcement(const std::vector<CollectionObject> &objects) const;

    /// Returns the announcement of all objects.
    ObjectAnnouncement fullAnnouncement() const;

    /// Answers \a request as far as the objects are known.
    ObjectOffer offerFor(const ObjectRequest &request) const;

    /// Returns the replicated collection.
    Collection collection() const { return this->replicatedCollection; }

    /// Returns true if no object is known, not even a removed one.
    bool empty() const { return this->objects.empty(); }

private:
    struct PendingRequest
    {
        std::uint64_t revision = 0;
        std::optional<std::uint64_t> sameDomainLink;  ///< Latest announcer in this failure domain.
        std::optional<std::uint64_t> otherDomainLink; ///< Latest announcer in another one.
        /// The peer in this failure domain was asked and has not answered.
        bool sameDomainAsked = false;
        TimePoint due;
    };

    bool isNewer(const CollectionObject &object) const;

    Collection replicatedCollection;
    Duration requestDelay = std::chrono::milliseconds(250);
    std::map<std::string, CollectionObject> objects; ///< Removed ones stay with their revision.
    std::map<std::string, PendingRequest> pendingRequests;
};

} // namespace dotterel
