#pragma once

#include "operator_tools/deployment.h"
#include "state/configuration.h"

#include <string>
#include <vector>

namespace dotterel {

/// What `dotterelctl status` shows: every listed entry host, and every configured backend server as
/// the hosts that answered see it.
struct FleetReport
{
    std::uint64_t storedVersion = 0;
    std::string storedVersionError; ///< Why the stored version is not known; empty if it is.
    std::vector<HostReading> hosts;

    /// Returns the report as tables.
    std::string text() const;

    /// Returns the report as JSON.
    std::string json() const;
};

} // namespace dotterel
