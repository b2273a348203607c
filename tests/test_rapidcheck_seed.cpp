#include <cstdlib>

namespace {

/// rapidcheck draws a new seed in each run unless it finds one in the environment; a run must give
/// the same verdict each time. A seed that the caller has set is kept.
const int SeedIsSet = setenv("RC_PARAMS", "seed=20261203", 0);

} // namespace
