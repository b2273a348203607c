#pragma once

#include "core/identity.h"
#include "protocol/crash_notice.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace dotterel {

/// What a host knows of another entry host.
struct MemberRecord
{
    HostIdentity identity;
    std::uint64_t heartbeat = 0; ///< Counter that the member raises with each heartbeat.
    std::uint64_t configurationVersion = 0;
    bool leaving = false;
};

/// Sent to each linked peer at every heartbeat interval.
struct Heartbeat
{
    HostIdentity sender;
    std::vector<MemberRecord> members; ///< The sender first, then those it heard news of.
    std::vector<ServerId> draining;    ///< Backend servers that are known to leave.
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

using PeerMessage =
        std::variant<Heartbeat, ConfigurationRequest, ConfigurationOffer, CrashNotice, DispatchNews,
                     OrderOutcomeOffer, ConfigurationChunkRequest, ConfigurationChunkOffer>;

/// Returns \a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// Reads what encodePeerMessage() wrote; the error says what was wrong.
tl::expected<PeerMessage, std::string> decodePeerMessage(std::string_view bytes);

} // namespace dotterel
