#pragma once

#include "core/identity.h"
#include "protocol/crash_notice.h"
#include "transport/endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace dotterel {

/// Liveness of a member. Of two records with the same refutation counter, the state that is
/// declared later here wins.
enum class MemberState : std::uint8_t {
    Alive,
    Suspected, ///< A linked host missed its heartbeats; the member can still refute this.
    Dead,      ///< The member did not refute the suspicion in time.
    Left,      ///< The member announced that it shuts down.
};

/// Returns the external name of \a state.
std::string_view memberStateName(MemberState state);

/// Returns true if peers accept \a name as that of a host or failure domain: 1 to 255 printable
/// ASCII characters without spaces.
bool isMemberName(std::string_view name);

/// Membership record of an entry host. Records are ordered by incarnation, then refutation counter,
/// then state; the greatest one wins.
struct MemberRecord
{
    HostIdentity identity;
    Endpoint peerEndpoint;               ///< Address on which the member accepts peer links.
    std::uint64_t refutationCounter = 0; ///< Incremented by the member alone, at a refutation.
    MemberState state = MemberState::Alive;
    bool leaving = false; ///< The member drains: it accepts no new requests.
    /// Port, at the same address, on which the member takes over requests; 0 if it does not.
    std::uint16_t relayPort = 0;
    /// The member passes prompt updates on inside its failure domain.
    bool forwardsUpdates = false;
    std::uint64_t configurationVersion = 0; ///< Active at the last direct message from the member.
};

/// Announces whether a backend server is draining. The higher sequence wins; at equal sequences,
/// draining wins.
struct ServerDrainNotice
{
    ServerId server;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool fromPlatformList = false; ///< Derived from the platform's list, which can revoke it.
};

/// Sent to each linked peer at every heartbeat interval, and immediately when a record changes.
struct Heartbeat
{
    MemberRecord sender;
    std::uint64_t digest = 0; ///< Hash of the sender's records of live members and of servers.
    std::vector<MemberRecord> changedRecords; ///< Each sent once per link.
    std::vector<ServerDrainNotice> notices;
    bool closesLink = false; ///< The sender closes this link but keeps running.
};

/// Bucket digests of the sender; requests the records of the buckets that differ from the
/// receiver's.
struct MemberDigest
{
    std::vector<std::uint64_t> bucketDigests;
};

/// Records of the sender that the receiver lacks or has in an older version.
struct MemberUpdate
{
    std::vector<MemberRecord> members;
    std::vector<ServerDrainNotice> notices;
    std::vector<std::uint64_t> bucketDigests; ///< Of the sender; empty if no reply is needed.
};

/// Requests a peer's configuration.
struct ConfigurationRequest
{
    std::uint64_t knownVersion = 0;
};

/// Carries the root object of a configuration in its stored form.
struct ConfigurationOffer
{
    std::uint64_t version = 0;
    std::string text;
};

/// Requests chunks of a configuration from a peer.
struct ConfigurationChunkRequest
{
    std::vector<std::string> names;
};

/// Carries one chunk of a configuration.
struct ConfigurationChunkOffer
{
    std::string name;
    std::string text;
};

/// Carries the outcome of an order that its host could not store immediately.
struct OrderOutcomeOffer
{
    std::string name;          ///< Of the order.
    std::uint64_t version = 0; ///< Version of the stored object that the record replaces.
    std::string record;        ///< Output of encodeOrderRecord().
};

/// Progress of an attempt that the sender dispatched.
enum class DispatchEventKind : std::uint8_t {
    Dispatched = 0,
    FirstToken = 1,
    Ended = 2,
};

/// A progress event of an attempt. Only Dispatched events carry fields other than kind and
/// sequence.
struct DispatchEvent
{
    DispatchEventKind kind = DispatchEventKind::Dispatched;
    std::uint64_t sequence = 0; ///< Identifies an attempt on one server among those of the sender.
    std::uint32_t serverHash = 0;    ///< Hash of its name.
    std::uint64_t promptTokens = 0;  ///< Prompt tokens that this server processes.
    std::uint64_t contextTokens = 0; ///< Preceding prompt tokens, processed by other servers.
    std::int64_t priority = 0;       ///< Lower numbers run first.
    std::uint32_t workspaceHash = 0; ///< Hash of its name.
};

/// Reports the sender's dispatch events to the peers that use the same backend servers.
struct DispatchUpdate
{
    std::uint32_t senderHash = 0; ///< Hash of the host's name and incarnation.
    std::vector<DispatchEvent> events;
};

/// The load that a backend server reported to the sender.
struct ServerLoad
{
    std::uint32_t serverHash = 0; ///< Hash of its name.
    std::uint64_t queuedTokens = 0;
    std::vector<std::uint64_t> queuedByBand; ///< By length band; empty if not reported.
};

/// Shares the load reports of the servers that the sender polls.
struct LoadUpdate
{
    std::vector<ServerLoad> loads;
};

/// The latest revision of an object that the sender knows.
struct AnnouncedObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
    std::uint64_t era = 0;     ///< See CollectionObject; 0 from hosts of earlier versions.
    std::uint64_t version = 0; ///< See CollectionObject; 0 from hosts of earlier versions.
};

/// Announces the revisions that the sender knows of the objects in a platform collection.
struct ObjectAnnouncement
{
    std::uint8_t collection = 0;
    std::vector<AnnouncedObject> objects;
};

/// Requests objects of a collection from a peer.
struct ObjectRequest
{
    std::uint8_t collection = 0;
    std::vector<std::string> names;
};

/// An object of a collection in its stored form.
struct OfferedObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
    std::string text;
    std::uint64_t era = 0;     ///< See CollectionObject; 0 from hosts of earlier versions.
    std::uint64_t version = 0; ///< See CollectionObject; 0 from hosts of earlier versions.
};

/// Reply to an ObjectRequest.
struct ObjectOffer
{
    std::uint8_t collection = 0;
    std::vector<OfferedObject> objects;
};

using PeerMessage =
        std::variant<Heartbeat, MemberDigest, MemberUpdate, ConfigurationRequest,
                     ConfigurationOffer, CrashNotice, DispatchUpdate, LoadUpdate, OrderOutcomeOffer,
                     ConfigurationChunkRequest, ConfigurationChunkOffer, ObjectAnnouncement,
                     ObjectRequest, ObjectOffer>;

/// Encodes \a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// Decodes the output of encodePeerMessage(). The error describes what is malformed.
tl::expected<PeerMessage, std::string> decodePeerMessage(std::string_view bytes);

} // namespace dotterel
