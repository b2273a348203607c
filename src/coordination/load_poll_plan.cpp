#include "coordination/load_poll_plan.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Two, so that every server still has a poller after the loss of one host.
constexpr std::ptrdiff_t PollersPerServer = 2;

} // namespace

bool pollsServer(const ServerId &server, const HostId &self, const std::vector<HostId> &liveHosts)
{
    const std::uint64_t ownHash = hash64(server + '\0' + self);
    const auto ranksHigher = [&server, &self, ownHash](const HostId &host) {
        return host != self && hash64(server + '\0' + host) < ownHash;
    };
    return std::count_if(liveHosts.begin(), liveHosts.end(), ranksHigher) < PollersPerServer;
}

} // namespace dotterel
