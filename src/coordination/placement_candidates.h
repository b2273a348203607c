#pragma once

#include "coordination/backend_directory.h"
#include "coordination/placement.h"

namespace dotterel {

/// Returns the servers that may run \a query at \a now, or a failure if there are none.
tl::expected<std::vector<const BackendServer *>, Failure>
placementCandidates(const BackendDirectory &directory, const PlacementQuery &query, TimePoint now);

} // namespace dotterel
