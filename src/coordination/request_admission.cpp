#include "coordination/request_admission.h"

namespace dotterel {

namespace {

constexpr Duration RetryAfterOverload = std::chrono::seconds(1);
constexpr Duration RetryAfterShutdown = std::chrono::seconds(1);
constexpr Duration RetryAfterStart = std::chrono::seconds(2);

Failure notRun(Reason reason, std::string detail, std::optional<Duration> retryAfter = std::nullopt)
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
        return notRun(Reason::ShuttingDown, "the entry host is shutting down", RetryAfterShutdown);
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
        return notRun(Reason::NoConfiguration, "no configuration is in force yet", RetryAfterStart);
    if (this->configuration.workspaces.count(request.workspace) == 0)
        return notRun(Reason::UnknownWorkspace,
                      "there is no workspace \"" + request.workspace + "\"");
    const auto requestClass = this->configuration.requestClasses.find(request.requestClass);
    if (requestClass == this->configuration.requestClasses.end())
        return notRun(Reason::UnknownRequestClass,
                      "there is no request class \"" + request.requestClass + "\"");
    if (this->configuration.pools.count(request.pool) == 0)
        return notRun(Reason::UnknownPool, "there is no pool \"" + request.pool + "\"");
    if (!requestClass->second.idempotent && request.idempotencyKey.empty())
        return notRun(Reason::MissingIdempotencyKey,
                      "class \"" + request.requestClass
                              + "\" is not idempotent: send an Idempotency-Key header with a value "
                                "of your own that names the order");
    return std::nullopt;
}

std::optional<Failure> RequestAdmission::checkLoad(const Request &request, std::size_t inFlight,
                                                   std::uint64_t queuedBytes) const
{
    if (inFlight >= this->limits.maxInFlight)
        return notRun(Reason::TooManyRequests, "too many requests are in flight on this host",
                      RetryAfterOverload);
    if (queuedBytes + request.body->size() > this->limits.maxQueuedBytes)
        return notRun(Reason::TooManyRequests,
                      "the bodies of the requests in flight on this host are too long together",
                      RetryAfterOverload);
    return std::nullopt;
}

} // namespace dotterel
