#pragma once

#include "bench/bench_run.h"
#include "coordination/backend_directory.h"
#include "coordination/placement.h"
#include "core/random_source.h"

#include <memory>

namespace dotterel::bench {

/// Builds the placement called \a policy for host number \a host, or null if there is none.
std::unique_ptr<Placement> makePlacement(const std::string &policy, const Workload &workload,
                                         const BackendDirectory &directory, RandomSource &random,
                                         const HostIdentity &self, std::size_t host);

} // namespace dotterel::bench
