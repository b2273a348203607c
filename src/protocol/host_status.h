#pragma once

#include "core/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// An entry host in the membership view of the reporting host.
struct MemberStatus
{
    HostIdentity identity;
    std::uint64_t configurationVersion = 0;
    bool leaving = false;
};

/// A backend server as the reporting host sees it.
struct ServerStatus
{
    ServerId id;
    std::string pool;
    std::string state; ///< "up", "limited", "out_of_service", "draining" or "down".
};

/// The status of one entry host, as served on its operator port.
struct HostStatus
{
    HostIdentity identity;
    std::uint64_t configurationVersion = 0; ///< Of the active configuration; 0 if there is none.
    bool shuttingDown = false;
    bool platformReachable = false;
    std::uint64_t requestsInFlight = 0;
    std::uint64_t peerLinks = 0;
    std::vector<MemberStatus> members;
    std::vector<ServerStatus> servers;
};

/// Returns \a status as JSON.
std::string hostStatusToJson(const HostStatus &status);

/// Parses the output of hostStatusToJson(). The error describes what is malformed.
tl::expected<HostStatus, std::string> hostStatusFromJson(std::string_view text);

} // namespace dotterel
