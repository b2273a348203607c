#include "core/prometheus_metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace dotterel {

namespace {

const prometheus::Histogram::BucketBoundaries FirstTokenBucketsSeconds = {
        0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 10, 30, 60, 120};

std::string prefixed(std::string_view name, std::string_view suffix)
{
    return "dotterel_" + std::string(name) + std::string(suffix);
}

} // namespace

struct PrometheusMetrics::Families
{
    prometheus::Registry registry;
    std::map<Reason, prometheus::Counter *> refusals;
    std::map<RetryReason, prometheus::Counter *> retries;
    std::map<Counter, prometheus::Counter *> counters;
    std::map<Gauge, prometheus::Gauge *> gauges;
    std::map<LengthBand, prometheus::Histogram *> firstToken;

    Families()
    {
        auto &refusalFamily = prometheus::BuildCounter()
                                      .Name("dotterel_refusals_total")
                                      .Help("Final refusals by reason.")
                                      .Register(this->registry);
        for (const ReasonInfo &info : reasonTable())
            this->refusals[info.reason] = &refusalFamily.Add({{"reason", std::string(info.name)}});

        auto &retryFamily = prometheus::BuildCounter()
                                    .Name("dotterel_retries_total")
                                    .Help("Further attempts by reason.")
                                    .Register(this->registry);
        for (int i = 0; i <= static_cast<int>(RetryReason::MemoryUnavailable); ++i) {
            const RetryReason reason = static_cast<RetryReason>(i);
            this->retries[reason] =
                    &retryFamily.Add({{"reason", std::string(retryReasonName(reason))}});
        }
        for (int i = 0; i <= static_cast<int>(Counter::CrashSuspects); ++i) {
            const Counter counter = static_cast<Counter>(i);
            this->counters[counter] = &prometheus::BuildCounter()
                                               .Name(prefixed(counterName(counter), "_total"))
                                               .Register(this->registry)
                                               .Add({});
        }
        for (int i = 0; i <= static_cast<int>(Gauge::QueuedBytes); ++i) {
            const Gauge gauge = static_cast<Gauge>(i);
            this->gauges[gauge] = &prometheus::BuildGauge()
                                           .Name(prefixed(gaugeName(gauge), ""))
                                           .Register(this->registry)
                                           .Add({});
        }
        auto &histogramFamily = prometheus::BuildHistogram()
                                        .Name("dotterel_first_token_seconds")
                                        .Help("Time to first token by prompt length.")
                                        .Register(this->registry);
        for (int i = 0; i <= static_cast<int>(LengthBand::UpTo1M); ++i) {
            const LengthBand band = static_cast<LengthBand>(i);
            this->firstToken[band] =
                    &histogramFamily.Add({{"prompt_tokens", std::string(lengthBandName(band))}},
                                         FirstTokenBucketsSeconds);
        }
    }
};

PrometheusMetrics::PrometheusMetrics()
    : families(std::make_unique<Families>())
{}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::countRefusal(Reason reason)
{
    this->families->refusals.at(reason)->Increment();
}

void PrometheusMetrics::countRetry(RetryReason reason)
{
    this->families->retries.at(reason)->Increment();
}

void PrometheusMetrics::count(Counter counter, std::uint64_t amount)
{
    this->families->counters.at(counter)->Increment(static_cast<double>(amount));
}

void PrometheusMetrics::set(Gauge gauge, double value)
{
    this->families->gauges.at(gauge)->Set(value);
}

void PrometheusMetrics::observeFirstToken(LengthBand band, Duration time)
{
    this->families->firstToken.at(band)->Observe(toSeconds(time));
}

std::string PrometheusMetrics::text() const
{
    std::ostringstream stream;
    const prometheus::TextSerializer serializer;
    serializer.Serialize(stream, this->families->registry.Collect());
    return stream.str();
}

} // namespace dotterel
