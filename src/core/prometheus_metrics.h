#pragma once

#include "core/metrics.h"

#include <memory>
#include <string>

namespace dotterel {

/// Records metrics in a prometheus-cpp registry.
class PrometheusMetrics : public Metrics
{
public:
    PrometheusMetrics();
    ~PrometheusMetrics() override;

    void countRefusal(Reason reason) override;
    void countRetry(RetryReason reason) override;
    void count(Counter counter, std::uint64_t amount) override;
    void set(Gauge gauge, double value) override;
    void observeFirstToken(LengthBand band, Duration time) override;
    void observeFirstTokenDelay(LengthBand band, Duration delay) override;
    void observe(LatencySpan span, Duration time) override;

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Instruments;
    std::unique_ptr<Instruments> instruments;
};

} // namespace dotterel
