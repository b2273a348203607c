#pragma once

#include "bench/bench_settings.h"
#include "core/verdict.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::bench {

/// A placement that can be measured.
struct BenchPolicy
{
    std::string name;
    std::string description;
};

/// Returns the policies, the baselines first.
const std::vector<BenchPolicy> &benchPolicies();

/// What happens to server 0 during a run.
enum class Fault {
    None,
    Death,
    Freeze,
    Slowness, ///< Everything takes five times as long.
};

/// Returns the external name of \a fault.
std::string_view faultName(Fault fault);

/// Returns the fault called \a name, if there is one.
std::optional<Fault> faultFromName(std::string_view name);

/// One run.
struct RunSettings
{
    std::string policy;
    double load = 0.85;      ///< Offered prefill over what the servers can do.
    double greed = 1;        ///< Workspace 0 offers this many times its part, on top of the load.
    bool retryStorm = false; ///< Refused callers ask again at once, until their deadline.
    Fault fault = Fault::None;
    std::uint64_t seed = 1;
    std::string label; ///< Names the condition in tables; empty derives it.
};

/// What became of one request.
struct RequestRecord
{
    TimePoint arrival;
    std::size_t workspace = 0;
    std::uint64_t promptTokens = 0;
    double idleSeconds = 0;                  ///< First token on an idle fleet, nothing cached.
    std::optional<double> firstTokenSeconds; ///< From the arrival; empty if there was none.
    bool admitted = false;
    bool finished = false;
    std::optional<Reason> refusal;

    /// Returns the time to the first token over that on an idle fleet.
    double slowdown() const { return this->firstTokenSeconds.value_or(0) / this->idleSeconds; }
};

/// Everything that was seen in one run.
struct RunRecord
{
    RunSettings settings;
    std::vector<RequestRecord> requests; ///< Those that arrived while it was measured.
    double measuredSeconds = 0;
    TimePoint faultAt;
    std::uint64_t memoryPeakTokens = 0;
    double workRatio = 0;           ///< Prefilled tokens over those of all first tries.
    double newsBytesPerHost = 0;    ///< Sent by one host to its peers in a second.
    double newsMessagesPerHost = 0; ///< Sent by one host to its peers in a second.
};

/// Runs \a workload in virtual time. The same arguments give the same record.
RunRecord runBench(const Workload &workload, const RunSettings &settings);

} // namespace dotterel::bench
