#pragma once

#include <cstdint>
#include <string>

namespace dotterel {

/// Name of an entry host, unique in the deployment.
using HostId = std::string;

/// Name of a backend server, unique in the deployment.
using ServerId = std::string;

/// Identifies one run of a host's process; higher for each later start.
using Incarnation = std::uint64_t;

/// Identifies one run of an entry host process.
struct HostIdentity
{
    HostId host;
    Incarnation incarnation = 0;
    std::string failureDomain;
};

/// Identifies a request, with the form "host.incarnation.sequence"; never reused.
using RequestId = std::string;

/// Identifies one attempt at a request on one backend server, with the form "request.attempt".
using AttemptId = std::string;

} // namespace dotterel
