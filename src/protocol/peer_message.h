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

/// Carries a whole configuration, as configurationToJson() writes it.
struct ConfigurationOffer
{
    std::uint64_t version = 0;
    std::string text;
};

using PeerMessage = std::variant<Heartbeat, ConfigurationRequest, ConfigurationOffer, CrashNotice>;

/// Returns \a message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// Reads what encodePeerMessage() wrote; the error says what was wrong.
tl::expected<PeerMessage, std::string> decodePeerMessage(std::string_view bytes);

} // namespace dotterel
