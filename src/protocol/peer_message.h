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

/// What is known of a member's life. A later state overrides an earlier one of the same counter.
enum class MemberState : std::uint8_t {
    Alive,
    Suspected, ///< A host linked to it heard nothing for a while; it may refute that.
    Dead,      ///< The suspicion was not refuted in time.
    Left,      ///< The member said that it ends.
};

/// Returns the external name of \a state.
std::string_view memberStateName(MemberState state);

/// What a host knows of an entry host. Ordered by incarnation, then counter, then state.
struct MemberRecord
{
    HostIdentity identity;
    Endpoint peers;            ///< Where the member accepts links.
    std::uint64_t counter = 0; ///< Raised by the member alone, to refute a suspicion.
    MemberState state = MemberState::Alive;
    bool leaving = false;                   ///< The member finishes its work and takes no new one.
    std::uint64_t configurationVersion = 0; ///< In force when the member was last heard directly.
};

/// Whether a backend server is leaving. A higher sequence overrides; at the same one draining does.
struct ServerNotice
{
    ServerId server;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool byList = false; ///< The platform's list says so, and may take it back.
};

/// Sent to each linked peer at every heartbeat, and at once when there is news.
struct Heartbeat
{
    MemberRecord sender;
    std::uint64_t digest = 0;       ///< Of all that the sender knows of live members and servers.
    std::vector<MemberRecord> news; ///< Records that changed, each sent once over each link.
    std::vector<ServerNotice> notices;
    bool unlinking = false; ///< The sender closes this link and goes on living.
};

/// Asks a peer for the records of those buckets that differ from its own.
struct MemberDigest
{
    std::vector<std::uint64_t> buckets;
};

/// Records that the sender holds and the receiver lacks.
struct MemberUpdate
{
    std::vector<MemberRecord> members;
    std::vector<ServerNotice> notices;
    std::vector<std::uint64_t> buckets; ///< Of the sender; empty if no answer is wanted.
};

/// Asks a peer for its configuration.
struct ConfigurationRequest
{
    std::uint64_t knownVersion = 0;
};

/// Carries the root of a configuration, as it is stored.
struct ConfigurationOffer
{
    std::uint64_t version = 0;
    std::string text;
};

/// Asks a peer for chunks of a configuration.
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

/// Carries the outcome of an order that its host could not store at once.
struct OrderOutcomeOffer
{
    std::string name;          ///< Of the order.
    std::uint64_t version = 0; ///< Of the object that the record is to replace.
    std::string record;        ///< As encodeOrderRecord() writes it.
};

/// What became of an attempt that the sender dispatched.
enum class DispatchEventKind : std::uint8_t {
    Dispatched = 0,
    FirstToken = 1,
    Ended = 2,
};

/// One step of an attempt; all but kind and sequence are only carried by Dispatched.
struct DispatchEvent
{
    DispatchEventKind kind = DispatchEventKind::Dispatched;
    std::uint64_t sequence = 0;      ///< Names the attempt at one server among those of the sender.
    std::uint32_t server = 0;        ///< Hash of its name.
    std::uint64_t promptTokens = 0;  ///< That this server processes.
    std::uint64_t contextTokens = 0; ///< Of the prompt, on other servers before these.
    std::int64_t priority = 0;       ///< A lower number runs first.
    std::uint32_t workspace = 0;     ///< Hash of its name.
};

/// Tells the peers that share servers with the sender what it sent there.
struct DispatchNews
{
    std::uint32_t sender = 0; ///< Hash of the host's name and incarnation.
    std::vector<DispatchEvent> events;
};

/// What a backend server reported of its load to the sender.
struct ServerLoad
{
    std::uint32_t server = 0; ///< Hash of its name.
    std::uint64_t queuedTokens = 0;
    std::vector<std::uint64_t> queuedByBand; ///< By length band; empty if the server gave none.
};

/// Tells the peers what the sender read from the servers that it polls.
struct LoadNews
{
    std::vector<ServerLoad> loads;
};

/// Says which revision of an object the sender knows.
struct AnnouncedObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// Tells what the sender knows of a collection of the platform.
struct ObjectAnnouncement
{
    std::uint8_t collection = 0;
    std::vector<AnnouncedObject> objects;
};

/// Asks a peer for objects of a collection.
struct ObjectRequest
{
    std::uint8_t collection = 0;
    std::vector<std::string> names;
};

/// One object of a collection, as the store keeps it.
struct OfferedObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool removed = false;
    std::string text;
};

/// Answers an ObjectRequest.
struct ObjectOffer
{
    std::uint8_t collection = 0;
    std::vector<OfferedObject> objects;
};

using PeerMessage =
        std::variant<Heartbeat, MemberDigest, MemberUpdate, ConfigurationRequest,
                     ConfigurationOffer, CrashNotice, DispatchNews, LoadNews, OrderOutcomeOffer,
                     ConfigurationChunkRequest, ConfigurationChunkOffer, ObjectAnnouncement,
                     ObjectRequest, ObjectOffer>;

/// Returns \a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// Reads what encodePeerMessage() wrote; the error says what was wrong.
tl::expected<PeerMessage, std::string> decodePeerMessage(std::string_view bytes);

} // namespace dotterel
