#pragma once

#include "core/metrics.h"

#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

inline constexpr const char *RefusalsMetric = "dotterel_refusals_total";
inline constexpr const char *RetriesMetric = "dotterel_retries_total";
inline constexpr const char *FirstTokenMetric = "dotterel_first_token_seconds";
inline constexpr const char *LatencyMetric = "dotterel_request_seconds";

/// How a metric moves.
enum class MetricType {
    Counter,
    Gauge,
    Histogram,
};

/// Returns the external name of \a type.
std::string_view metricTypeName(MetricType type);

/// A metric as `/metrics` gives it.
struct MetricInfo
{
    std::string name; ///< Whole, such as "dotterel_refusals_total".
    MetricType type = MetricType::Counter;
    std::string label; ///< Name of its label; empty if it has none.
    std::string_view meaning;
};

/// Returns every metric in the order of their tables. docs/METRICS.md is the page.
const std::vector<MetricInfo> &metricCatalogue();

/// Returns the whole name of the metric of \a counter.
std::string counterMetricName(Counter counter);

/// Returns the whole name of the metric of \a gauge.
std::string gaugeMetricName(Gauge gauge);

/// Returns what \a counter counts; empty if the catalogue lacks it.
std::string_view counterMeaning(Counter counter);

/// Returns what \a gauge shows; empty if the catalogue lacks it.
std::string_view gaugeMeaning(Gauge gauge);

/// Returns what \a reason means; empty if the catalogue lacks it.
std::string_view retryReasonMeaning(RetryReason reason);

/// Returns all values of an enumeration whose tables begin at 0 and have no gap. \a nameOf gives
/// "unknown" for the value after the last.
template <typename Enum>
std::vector<Enum> allValues(std::string_view (*nameOf)(Enum))
{
    std::vector<Enum> values;
    for (int i = 0; nameOf(static_cast<Enum>(i)) != "unknown"; ++i)
        values.push_back(static_cast<Enum>(i));
    return values;
}

} // namespace dotterel
