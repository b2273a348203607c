#pragma once

#include "core/identity.h"

#include <string>
#include <vector>

namespace dotterel {

/// Says whether host \a self polls the load of \a server: of the \a live hosts, which include
/// \a self, a fixed small number polls each server, spread by rendezvous hashing. Hosts that see
/// different members poll too often or too seldom for a while; nothing else depends on it.
bool pollsServer(const ServerId &server, const HostId &self, const std::vector<HostId> &live);

} // namespace dotterel
