#pragma once

#include "core/prometheus_metrics.h"
#include "protocol/host_status.h"
#include "transport/http_server.h"

namespace dotterel {

/// The host that an OperatorApi reports on and controls.
class OperatorTarget
{
public:
    virtual ~OperatorTarget() = default;

    /// Returns true while callers should be routed to this host.
    virtual bool isReady() const = 0;

    /// Returns the status of the host.
    virtual HostStatus status() const = 0;

    /// Starts a graceful shutdown; further calls have no effect.
    virtual void drain() = 0;
};

/// HTTP API for operators, on a separate address:
///
/// - `GET /healthz`: 200 while the event loop runs.
/// - `GET /readyz`: 200 if callers should be routed to this host, otherwise 503.
/// - `GET /metrics`: metrics in the Prometheus text format; see docs/METRICS.md.
/// - `GET /status`: a HostStatus as JSON.
/// - `POST /drain`: 202; starts a graceful shutdown.
class OperatorApi
{
public:
    /// \a loop, \a target and \a metrics must outlive this object. Throws std::runtime_error if \a
    /// endpoint cannot be bound.
    OperatorApi(EventLoop &loop, const Endpoint &endpoint, OperatorTarget &target,
                const PrometheusMetrics &metrics);

    /// The bound address and port.
    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    void handleExchange(const HttpExchangePtr &exchange);
    void handleGet(const HttpExchangePtr &exchange, const std::string &path);

    OperatorTarget &target;
    const PrometheusMetrics &metrics;
    HttpServer server;
};

} // namespace dotterel
