#include "coordination/load_poll_plan.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Two, so that the loss of one host leaves no server without reports.
constexpr std::ptrdiff_t PollersOfServer = 2;

} // namespace

bool pollsServer(const ServerId &server, const HostId &self, const std::vector<HostId> &live)
{
    const std::uint64_t own = hash64(server + '\0' + self);
    const auto ahead = [&server, &self, own](const HostId &host) {
        return host != self && hash64(server + '\0' + host) < own;
    };
    return std::count_if(live.begin(), live.end(), ahead) < PollersOfServer;
}

} // namespace dotterel
