#include "coordination/placement_candidates.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration NoServerRetryDelay = std::chrono::seconds(1);

} // namespace

tl::expected<std::vector<const BackendServer *>, Failure>
placementCandidates(const BackendDirectory &directory, const PlacementQuery &query, TimePoint now)
{
    std::vector<const BackendServer *> servers = directory.usableServers(query.pool, now);
    const auto isExcluded = [&query](const BackendServer *server) {
        return std::find(query.excluded.begin(), query.excluded.end(), server->id)
               != query.excluded.end();
    };
    servers.erase(std::remove_if(servers.begin(), servers.end(), isExcluded), servers.end());
    if (servers.empty())
        return tl::unexpected(
                Failure{Verdict::NotRun, Reason::NoBackendServer,
                        "no backend server of pool \"" + query.pool + "\" can take the request",
                        NoServerRetryDelay});
    return servers;
}

} // namespace dotterel
