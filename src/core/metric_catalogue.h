#pragma once

#include "core/metrics.h"

#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

inline constexpr const char *RefusalsMetric = "dotterel_refusals_total";
inline constexpr const char *RetriesMetric = "dotterel_retries_total";
inline constexpr const char *FirstTokenMetric = "dotterel_first_token_seconds";
inline constexpr const char *FirstTokenDelayMetric = "dotterel_first_token_delay_seconds";
inline constexpr const char *LatencyMetric = "dotterel_request_seconds";

/// Prometheus type of a metric.
enum class MetricType {
    Counter,
    Gauge,
    Histogram,
};

/// Returns the external name of \a type.
std::string_view metricTypeName(MetricType type);

/// A metric as exported on `/metrics`.
struct MetricInfo
{
    std::string name; ///< Full name, such as "dotterel_refusals_total".
    MetricType type = MetricType::Counter;
    std::string label; ///< Label name; empty if the metric has no label.
    std::string_view meaning;
};

/// Returns all metrics. docs/METRICS.md is generated from them.
const std::vector<MetricInfo> &metricCatalogue();

/// Returns the full metric name of \a counter.
std::string counterMetricName(Counter counter);

/// Returns the full metric name of \a gauge.
std::string gaugeMetricName(Gauge gauge);

/// Returns the description of \a counter; empty if it has none.
std::string_view counterMeaning(Counter counter);

/// Returns the description of \a gauge; empty if it has none.
std::string_view gaugeMeaning(Gauge gauge);

/// Returns the description of \a reason; empty if it has none.
std::string_view retryReasonMeaning(RetryReason reason);

/// Returns all values of an enumeration whose values start at 0 and have no gap. \a nameOf returns
/// "unknown" for the first value past the end.
template <typename Enum>
std::vector<Enum> allValues(std::string_view (*nameOf)(Enum))
{
    std::vector<Enum> values;
    for (int i = 0; nameOf(static_cast<Enum>(i)) != "unknown"; ++i)
        values.push_back(static_cast<Enum>(i));
    return values;
}

} // namespace dotterel
