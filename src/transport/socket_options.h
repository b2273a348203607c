#pragma once

#include "transport/endpoint.h"

#include <cstdint>
#include <netinet/in.h>

namespace dotterel {

/// Sets no delay, and finds a peer that fell silent: by probes when nothing is sent and by
/// unacknowledged bytes otherwise.
void setConnectionOptions(int descriptor);

/// Returns \a endpoint as a socket address; throws std::runtime_error if it is no IPv4 number.
sockaddr_in socketAddress(const Endpoint &endpoint);

/// Returns the address that \a descriptor is bound to.
Endpoint boundAddress(int descriptor);

} // namespace dotterel
