#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "core/verdict.h"
#include "transport/http_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace dotterel {

/// What a host adds to a request that it hands to another host because it reaches no server of the
/// pool itself. The other host does not check again what is decided here.
struct RelayEnvelope
{
    HostId origin;
    std::string pool;
    std::string workspace;                    ///< Of the API key, which stays at the origin.
    Duration timeLeft = Duration::zero();     ///< Until the deadline of the request.
    Duration waited = Duration::zero();       ///< Since the caller's first attempt, as estimated.
    std::size_t attemptsSent = 0;             ///< Attempts that may have reached a server.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has.
};

/// Refusal of a relayed request by the other host.
struct RelayRefusal
{
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::BackendFailed;
    std::optional<Duration> retryAfter;
};

/// Returns \a headers with those of \a envelope. Headers of that kind that a caller sent are left
/// out.
HttpHeaders withRelayEnvelope(HttpHeaders headers, const RelayEnvelope &envelope);

/// Removes the envelope from \a headers and returns it. The error names the first header that is
/// missing or invalid.
tl::expected<RelayEnvelope, std::string> takeRelayEnvelope(HttpHeaders &headers);

/// Adds \a refusal to the headers of a response to a relayed request.
void addRelayRefusal(HttpHeaders &headers, const RelayRefusal &refusal);

/// Returns the refusal in the headers of a response, if it is one of a host.
std::optional<RelayRefusal> parseRelayRefusal(const HttpHeaders &headers);

} // namespace dotterel
