#pragma once

#include "core/identity.h"

#include <string>
#include <vector>

namespace dotterel {

/// Returns true if host \a self polls the load of \a server. Rendezvous hashing assigns a small
/// fixed number of the hosts \a liveHosts, which include \a self, to each server. While hosts
/// disagree about the live members, a server may be polled too often or too seldom, which has no
/// other effect.
bool pollsServer(const ServerId &server, const HostId &self, const std::vector<HostId> &liveHosts);

} // namespace dotterel
