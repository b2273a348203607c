#include "core/prometheus_metrics.h"

#include "core/metric_catalogue.h"

#include <algorithm>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace dotterel {

namespace {

const prometheus::Histogram::BucketBoundaries BucketBoundsSeconds = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 10, 30, 60, 120};

std::string helpText(const std::string &name)
{
    for (const MetricInfo &info : metricCatalogue()) {
        if (info.name == name)
            return std::string(info.meaning);
    }
    return {};
}

} // namespace

struct PrometheusMetrics::Instruments
{
    prometheus::Registry registry;
    std::map<Reason, prometheus::Counter *> refusals;
    std::map<RetryReason, prometheus::Counter *> retries;
    std::map<Counter, prometheus::Counter *> counters;
    std::map<Gauge, prometheus::Gauge *> gauges;
    std::map<LengthBand, prometheus::Histogram *> firstTokenTimes;
    std::map<LengthBand, prometheus::Histogram *> firstTokenDelays;
    std::map<LatencySpan, prometheus::Histogram *> latencies;

    Instruments()
    {
        this->registerReasonCounters();
        for (const Counter counter : allValues(counterName))
            this->counters[counter] =
                    &this->registerCounterFamily(counterMetricName(counter)).Add({});
        for (const Gauge gauge : allValues(gaugeName)) {
            const std::string name = gaugeMetricName(gauge);
            this->gauges[gauge] = &prometheus::BuildGauge()
                                           .Name(name)
                                           .Help(helpText(name))
                                           .Register(this->registry)
                                           .Add({});
        }
        auto &firstTokenFamily = prometheus::BuildHistogram()
                                         .Name(FirstTokenMetric)
                                         .Help(helpText(FirstTokenMetric))
                                         .Register(this->registry);
        for (const LengthBand band : allValues(lengthBandName)) {
            this->firstTokenTimes[band] = &firstTokenFamily.Add(
                    {{"prompt_tokens", std::string(lengthBandName(band))}}, BucketBoundsSeconds);
        }
        auto &delayFamily = prometheus::BuildHistogram()
                                    .Name(FirstTokenDelayMetric)
                                    .Help(helpText(FirstTokenDelayMetric))
                                    .Register(this->registry);
        for (const LengthBand band : allValues(lengthBandName)) {
            this->firstTokenDelays[band] = &delayFamily.Add(
                    {{"prompt_tokens", std::string(lengthBandName(band))}}, BucketBoundsSeconds);
        }
        auto &latencyFamily = prometheus::BuildHistogram()
                                      .Name(LatencyMetric)
                                      .Help(helpText(LatencyMetric))
                                      .Register(this->registry);
        for (const LatencySpan span : allValues(latencySpanName)) {
            this->latencies[span] = &latencyFamily.Add(
                    {{"span", std::string(latencySpanName(span))}}, BucketBoundsSeconds);
        }
    }

    void registerReasonCounters()
    {
        auto &refusalFamily = this->registerCounterFamily(RefusalsMetric);
        for (const ReasonInfo &info : reasonTable())
            this->refusals[info.reason] = &refusalFamily.Add({{"reason", std::string(info.name)}});
        auto &retryFamily = this->registerCounterFamily(RetriesMetric);
        for (const RetryReason reason : allValues(retryReasonName)) {
            this->retries[reason] =
                    &retryFamily.Add({{"reason", std::string(retryReasonName(reason))}});
        }
    }

    prometheus::Family<prometheus::Counter> &registerCounterFamily(const std::string &name)
    {
        return prometheus::BuildCounter().Name(name).Help(helpText(name)).Register(this->registry);
    }
};

PrometheusMetrics::PrometheusMetrics()
    : instruments(std::make_unique<Instruments>())
{}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::countRefusal(Reason reason)
{
    this->instruments->refusals.at(reason)->Increment();
}

void PrometheusMetrics::countRetry(RetryReason reason)
{
    this->instruments->retries.at(reason)->Increment();
}

void PrometheusMetrics::count(Counter counter, std::uint64_t amount)
{
    this->instruments->counters.at(counter)->Increment(static_cast<double>(amount));
}

void PrometheusMetrics::set(Gauge gauge, double value)
{
    this->instruments->gauges.at(gauge)->Set(value);
}

void PrometheusMetrics::observeFirstToken(LengthBand band, Duration time)
{
    this->instruments->firstTokenTimes.at(band)->Observe(toSeconds(time));
}

void PrometheusMetrics::observeFirstTokenDelay(LengthBand band, Duration delay)
{
    this->instruments->firstTokenDelays.at(band)->Observe(
            toSeconds(std::max(Duration::zero(), delay)));
}

void PrometheusMetrics::observe(LatencySpan span, Duration time)
{
    this->instruments->latencies.at(span)->Observe(toSeconds(time));
}

std::string PrometheusMetrics::text() const
{
    std::ostringstream stream;
    const prometheus::TextSerializer serializer;
    serializer.Serialize(stream, this->instruments->registry.Collect());
    return stream.str();
}

} // namespace dotterel
