#pragma once

#include "core/identity.h"

#include <string>
#include <vector>

namespace dotterel {

/// Returns true if host \a self polls the load of \a server. Rendezvous hashing assigns a small
/// fixed number of the hosts \a liveHosts, which include \a self, to each server. Hosts with
/// different views of the live members may poll a server more or less often than intended; nothing
/// else depends on the assignment.
bool pollsServer(const ServerId &server, const HostId &self, const std::vector<HostId> &liveHosts);

} // namespace dotterel
