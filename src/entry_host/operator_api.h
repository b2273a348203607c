#pragma once

#include "core/prometheus_metrics.h"
#include "protocol/host_status.h"
#include "transport/http_server.h"

namespace dotterel {

/// The entry host, as its operator address shows it.
class OperatorTarget
{
public:
    virtual ~OperatorTarget() = default;

    /// Returns true while callers should be sent to this host.
    virtual bool isReady() const = 0;

    /// Returns the status of the host.
    virtual HostStatus status() const = 0;

    /// Begins a graceful shutdown; asking again changes nothing.
    virtual void drain() = 0;
};

/// Serves operators over HTTP on an address of their own:
///
/// - `GET /healthz`: 200 while the loop runs.
/// - `GET /readyz`: 200 if callers should be sent here, 503 if not.
/// - `GET /metrics`: Prometheus text; docs/METRICS.md is the page.
/// - `GET /status`: a HostStatus as JSON.
/// - `POST /drain`: begins a graceful shutdown, 202.
class OperatorApi
{
public:
    /// The other objects must outlive this one. Throws std::runtime_error if \a endpoint cannot be
    /// bound.
    OperatorApi(EventLoop &loop, const Endpoint &endpoint, OperatorTarget &target,
                const PrometheusMetrics &metrics);

    /// The address and port in use.
    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    void handle(const HttpExchangePointer &exchange);
    void answerRead(const HttpExchangePointer &exchange, const std::string &path);

    OperatorTarget &target;
    const PrometheusMetrics &metrics;
    HttpServer server;
};

} // namespace dotterel
