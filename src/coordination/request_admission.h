#pragma once

#include "coordination/request.h"
#include "core/verdict.h"
#include "state/configuration.h"

#include <optional>

namespace dotterel {

/// Limits of a RequestController.
struct RequestLimits
{
    std::uint64_t maxInFlight = 4'096;
    std::uint64_t maxQueuedBytes = 1024UL * 1024 * 1024; ///< Bodies of all requests in flight.
    int maxAttempts = 4;

    /// An attempt is given up when its first token is later than firstTokenFactor times the
    /// prediction plus firstTokenSlack, or when it is silent for tokenGap after that.
    double firstTokenFactor = 3.0;
    Duration firstTokenSlack = std::chrono::seconds(2);
    Duration tokenGap = std::chrono::seconds(5);
    std::uint64_t slowestPrefill = 10'000; ///< Tokens per second, where nothing is predicted.

    Duration callerStall = std::chrono::seconds(10); ///< How long a caller may not read.

    double retryRatio = 0.1;                ///< Work of retries to work of first tries.
    std::uint64_t retryReserve = 4'000'000; ///< Prompt tokens of retries beyond the ratio.
};

/// Checks new requests against the configuration and the limits of the host. Pure.
class RequestAdmission
{
public:
    explicit RequestAdmission(const RequestLimits &limits);

    void applyConfiguration(const Configuration &newConfiguration);

    /// Refuses every new request from now on.
    void beginShutdown() { this->shuttingDown = true; }

    /// Says why \a request is refused, if it is; \a inFlight and \a queuedBytes are without it.
    std::optional<Failure> check(const Request &request, std::size_t inFlight,
                                 std::uint64_t queuedBytes) const;

    /// Returns the class of a request that passed check().
    const RequestClass &requestClass(const Request &request) const;

    /// Returns the kind of pool of a request that passed check().
    PoolKind poolKind(const Request &request) const;

private:
    std::optional<Failure> checkConfiguration(const Request &request) const;
    std::optional<Failure> checkLoad(const Request &request, std::size_t inFlight,
                                     std::uint64_t queuedBytes) const;

    RequestLimits limits;
    Configuration configuration;
    bool shuttingDown = false;
};

} // namespace dotterel
