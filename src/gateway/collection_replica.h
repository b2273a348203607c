#pragma once

#include "protocol/peer_message.h"
#include "state/collection_store.h"

#include <algorithm>
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
/// store rejects still receives changes. The latest state of an object wins, by isLaterState(); an
/// object never goes back to an earlier one. Performs no I/O.
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

    /// Returns the known state of \a object if it is later than \a object and this has not been
    /// reported since the known state changed; nullopt otherwise.
    std::optional<CollectionObject> reportOutdated(const CollectionObject &object);

    /// Returns the latest era of the store that this replica knows; 0 if none.
    std::uint64_t era() const { return this->knownEra; }

    /// Called when the object \a name cannot be used. A usable one may have a lower version.
    void disregardVersion(const std::string &name);

    /// Records that the store is in \a era. Objects of earlier eras stay until a list or a peer
    /// replaces them.
    void learnEra(std::uint64_t era) { this->knownEra = std::max(this->knownEra, era); }

    /// Sets how long to wait for the store to deliver an announced object before asking the peer.
    void setRequestDelay(Duration delay) { this->requestDelay = delay; }

    /// Returns requests that are due, by link.
    std::vector<std::pair<std::uint64_t, ObjectRequest>> takeDueRequests(TimePoint now);

    /// Returns when takeDueRequests() is due next; nullopt if no request is pending.
    std::optional<TimePoint> nextRequestDue() const;

    /// Returns the announcement of \a objects; a peer detects missing changes by their revisions.
    ObjectAnnouncement announcement(const std::vector<CollectionObject> &objects) const;

    /// Returns the announcement of all objects.
    ObjectAnnouncement fullAnnouncement() const;

    /// Returns those of the objects requested by \a request that this replica has.
    ObjectOffer offerFor(const ObjectRequest &request) const;

    /// Returns the replicated collection.
    Collection collection() const { return this->replicatedCollection; }

    /// Returns true if there is no object and no tombstone of a removed object.
    bool empty() const { return this->objects.empty(); }

private:
    struct PendingRequest
    {
        CollectionObject announced;                   ///< Latest announced state, without text.
        std::optional<std::uint64_t> sameDomainLink;  ///< Latest announcing peer in this domain.
        std::optional<std::uint64_t> otherDomainLink; ///< Latest announcing peer in another one.
        /// The peer in this failure domain was asked and has not responded.
        bool sameDomainAsked = false;
        TimePoint due;
    };

    bool isNewer(const CollectionObject &object) const;

    Collection replicatedCollection;
    std::uint64_t knownEra = 0;
    Duration requestDelay = std::chrono::milliseconds(250);
    std::map<std::string, CollectionObject> objects; ///< Includes tombstones of removed ones.
    std::map<std::string, PendingRequest> pendingRequests;
    std::set<std::string> reportedOutdated; ///< Names, until their object changes.
};

} // namespace dotterel
