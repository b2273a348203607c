#include "entry_host/operator_api.h"

namespace dotterel {

namespace {

constexpr std::size_t MaxBodyBytes = 64UL * 1024;
constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusNotFound = 404;
constexpr int StatusMethodNotAllowed = 405;
constexpr int StatusUnavailable = 503;
constexpr const char *DrainPath = "/drain";

} // namespace

OperatorApi::OperatorApi(EventLoop &loop, const Endpoint &endpoint, OperatorTarget &target,
                         const PrometheusMetrics &metrics)
    : target(target)
    , metrics(metrics)
    , server(loop, endpoint, MaxBodyBytes,
             [this](const HttpExchangePtr &exchange) { this->handleExchange(exchange); })
{}

void OperatorApi::handleExchange(const HttpExchangePtr &exchange)
{
    const std::string path = exchange->path();
    const std::string allowedMethod = path == DrainPath ? "POST" : "GET";
    if (exchange->method() != allowedMethod) {
        exchange->reply(StatusMethodNotAllowed, {{"Allow", allowedMethod}},
                        path + " takes " + allowedMethod + " only\n");
        return;
    }
    if (path != DrainPath) {
        this->handleGet(exchange, path);
        return;
    }
    this->target.drain();
    exchange->reply(StatusAccepted, {}, "draining\n");
}

void OperatorApi::handleGet(const HttpExchangePtr &exchange, const std::string &path)
{
    if (path == "/healthz") {
        exchange->reply(StatusOk, {}, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = this->target.isReady();
        exchange->reply(ready ? StatusOk : StatusUnavailable, {},
                        ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        exchange->reply(StatusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                        this->metrics.text());
    } else if (path == "/status") {
        exchange->reply(StatusOk, {{"Content-Type", "application/json"}},
                        hostStatusToJson(this->target.status()));
    } else {
        exchange->reply(StatusNotFound, {},
                        "routes are /healthz, /readyz, /metrics, /status and /drain\n");
    }
}

} // namespace dotterel
