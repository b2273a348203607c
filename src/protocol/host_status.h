#pragma once

#include "core/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// What a host says of an entry host that it heard of.
struct MemberStatus
{
    HostIdentity identity;
    std::uint64_t configurationVersion = 0;
    bool leaving = false;
};

/// What a host says of a backend server.
struct ServerStatus
{
    ServerId id;
    std::string pool;
    std::string state; ///< "up", "draining" or "down".
};

/// The status of one entry host, as its operator address gives it.
struct HostStatus
{
    HostIdentity identity;
    std::uint64_t configurationVersion = 0; ///< In force on this host; 0 if there is none.
    bool shuttingDown = false;
    bool platformReachable = false;
    std::uint64_t requestsInFlight = 0;
    std::uint64_t peerLinks = 0;
    std::vector<MemberStatus> members;
    std::vector<ServerStatus> servers;
};

/// Returns \a status as JSON.
std::string hostStatusToJson(const HostStatus &status);

/// Reads what hostStatusToJson() wrote; the error says what was wrong.
tl::expected<HostStatus, std::string> hostStatusFromJson(std::string_view text);

} // namespace dotterel
