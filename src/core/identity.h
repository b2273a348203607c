#pragma once

#include <cstdint>
#include <string>

namespace dotterel {

/// Name of an entry host, unique in the deployment.
using HostId = std::string;

/// Name of a backend server, unique in the deployment.
using ServerId = std::string;

/// Number that a host draws at each start; a later start has a higher one.
using Incarnation = std::uint64_t;

/// One life of an entry host.
struct HostIdentity
{
    HostId host;
    Incarnation incarnation = 0;
    std::string failureDomain;
};

/// Identifies a request for as long as anything remembers it: "host.incarnation.sequence".
using RequestId = std::string;

/// Identifies one attempt at a request on one backend server: "request.attempt".
using AttemptId = std::string;

} // namespace dotterel
