#pragma once

#include "coordination/request.h"
#include "core/verdict.h"
#include "state/configuration.h"

#include <optional>

namespace dotterel {

/// Limits and timeouts of a RequestController.
struct RequestLimits
{
    std::uint64_t maxInFlight = 4'096;
    /// Total body size of all requests in flight.
    std::uint64_t maxQueuedBytes = 1024UL * 1024 * 1024;
    int maxAttempts = 4;

    /// An attempt times out when its first token takes longer than firstTokenTimeoutFactor times
    /// the prediction plus firstTokenSlack, or when a later token takes longer than tokenTimeout.
    double firstTokenTimeoutFactor = 3.0;
    Duration firstTokenSlack = std::chrono::seconds(2);
    Duration tokenTimeout = std::chrono::seconds(5);
    /// Tokens per second, assumed without a prediction.
    std::uint64_t minPrefillTokensPerSecond = 10'000;

    /// How long a caller may not read its answer.
    Duration callerStallTimeout = std::chrono::seconds(10);

    double retryRatio = 0.1; ///< Work of retries relative to that of first attempts.
    /// Prompt tokens that retries may use beyond the ratio.
    std::uint64_t retryReserveTokens = 4'000'000;
};

/// Validates new requests against the configuration and the limits of the host. Deterministic:
/// performs no I/O and reads no clock.
class RequestAdmission
{
public:
    explicit RequestAdmission(const RequestLimits &limits);

    void applyConfiguration(const Configuration &newConfiguration);

    /// Refuses all new requests from now on.
    void beginShutdown() { this->shuttingDown = true; }

    /// Returns a failure if \a request is refused. \a inFlight and \a queuedBytes are the totals
    /// without it.
    std::optional<Failure> check(const Request &request, std::size_t inFlight,
                                 std::uint64_t queuedBytes) const;

    /// Returns the request class of a request that passed check().
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
