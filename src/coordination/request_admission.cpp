#include "coordination/request_admission.h"

namespace dotterel {

namespace {

constexpr Duration OverloadRetryDelay = std::chrono::seconds(1);
constexpr Duration ShutdownRetryDelay = std::chrono::seconds(1);
constexpr Duration NoConfigurationRetryDelay = std::chrono::seconds(2);

Failure notRunFailure(Reason reason, std::string detail,
                      std::optional<Duration> retryAfter = std::nullopt)
{
    return {Verdict::NotRun, reason, std::move(detail), retryAfter};
}

} // namespace

RequestAdmission::RequestAdmission(const RequestLimits &limits)
    : limits(limits)
{}

void RequestAdmission::applyConfiguration(const Configuration &newConfiguration)
{
    this->configuration = newConfiguration;
}

std::optional<Failure> RequestAdmission::check(const Request &request, std::size_t inFlight,
                                               std::uint64_t queuedBytes) const
{
    if (this->shuttingDown)
        return notRunFailure(Reason::ShuttingDown, "the entry host is shutting down",
                             ShutdownRetryDelay);
    const std::optional<Failure> failure = this->checkConfiguration(request);
    return failure ? failure : this->checkLoad(request, inFlight, queuedBytes);
}

const RequestClass &RequestAdmission::requestClass(const Request &request) const
{
    return this->configuration.requestClasses.at(request.requestClass);
}

PoolKind RequestAdmission::poolKind(const Request &request) const
{
    return this->configuration.pools.at(request.pool).kind;
}

std::optional<Failure> RequestAdmission::checkConfiguration(const Request &request) const
{
    if (this->configuration.version == 0)
        return notRunFailure(Reason::NoConfiguration,
                             "this host has not loaded a configuration yet",
                             NoConfigurationRetryDelay);
    if (this->configuration.workspaces.count(request.workspace) == 0)
        return notRunFailure(Reason::UnknownWorkspace,
                             "unknown workspace \"" + request.workspace + "\"");
    const auto requestClass = this->configuration.requestClasses.find(request.requestClass);
    if (requestClass == this->configuration.requestClasses.end())
        return notRunFailure(Reason::UnknownRequestClass,
                             "unknown request class \"" + request.requestClass + "\"");
    if (this->configuration.pools.count(request.pool) == 0)
        return notRunFailure(Reason::UnknownPool, "unknown pool \"" + request.pool + "\"");
    if (!requestClass->second.idempotent && request.idempotencyKey.empty())
        return notRunFailure(
                Reason::MissingIdempotencyKey,
                "request class \"" + request.requestClass
                        + "\" is not idempotent: send an Idempotency-Key header with a "
                          "unique value for the order");
    return std::nullopt;
}

std::optional<Failure> RequestAdmission::checkLoad(const Request &request, std::size_t inFlight,
                                                   std::uint64_t queuedBytes) const
{
    if (inFlight >= this->limits.maxInFlight)
        return notRunFailure(Reason::TooManyRequests, "this host has too many requests in flight",
                             OverloadRetryDelay);
    if (queuedBytes + request.body->size() > this->limits.maxQueuedBytes)
        return notRunFailure(
                Reason::TooManyRequests,
                "the total body size of the requests in flight on this host is too large",
                OverloadRetryDelay);
    return std::nullopt;
}

} // namespace dotterel
