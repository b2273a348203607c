#pragma once

#include "gateway/gateway_configuration.h"
#include "gateway/service_placement.h"
#include "transport/http_client.h"
#include "transport/http_message_parser.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// Metadata from the headers of a caller's request.
struct RequestMetadata
{
    std::string requestId; ///< Unique per request; a retry by the caller has a new one.
    std::string hostName;  ///< Host name of the request URL, without the port.
    std::optional<Duration> callerTimeout; ///< Time after which the caller gives up.
    std::string apiKey;             ///< API key, identifies the workspace; empty if there is none.
    std::uint64_t promptTokens = 0; ///< 0 if the request is not a prompt.
    std::uint64_t outputTokens = 0; ///< Maximum length of the output.
    /// The caller's estimate of the length of the output, which may be far off.
    std::optional<std::uint64_t> expectedOutputTokens;
    /// Ids of the parts of the prompt that other prompts may share, in order; a bounded number.
    std::vector<std::string> sharedPromptParts;
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event the caller received.
};

/// Engine that prefills a part of a prompt for the engine that runs it.
struct DispatchHelper
{
    Endpoint endpoint;
    std::string reservationId; ///< Id of the memory reservation there; empty if there is none.
};

/// Request to an engine to reserve, renew or release KV cache memory.
struct MemoryReservationRequest
{
    std::string reservationId; ///< Id of the reservation; sending it again renews the reservation.
    ServerId server;
    Endpoint endpoint;
    std::uint64_t tokens = 0;             ///< 0 releases the reservation.
    Duration lifetime = Duration::zero(); ///< Lifetime without renewal, from receipt by the engine.
};

/// Metadata sent to a backend server in addition to the caller's headers.
struct DispatchMetadata
{
    Duration remainingTime = Duration::zero(); ///< Until the deadline of the request.
    ServerId expectedServer;             ///< Any other server at that address rejects the request.
    std::string workspace;               ///< Empty on routes that allow anonymous callers.
    std::vector<DispatchHelper> helpers; ///< Engines that prefill parts of the prompt.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last forwarded event.
};

/// Metadata from the head of a backend server's response.
struct ResponseMetadata
{
    bool isSigned = false; ///< The response carries the server's signature.
    bool notRun = false;   ///< The server guarantees that the request has not run and will not run.
    bool isWrongServer = false;      ///< The address belongs to another server now.
    bool hasContentEncoding = false; ///< The body was encoded after the server produced it.
    bool serverLeaving = false;      ///< The server leaves and wants no new requests.
    /// Time for which the server wants no requests from this host; nullopt if it did not say so.
    std::optional<Duration> requestedPause;
    /// Requests per second that the server takes from all hosts together, at least 0; nullopt if it
    /// names no limit, or one that is invalid.
    std::optional<double> requestLimit;
    bool hasInvalidLimit = false; ///< The server names a limit that cannot be read.
    /// Time that the server's warm-up takes; zero if it is warm, nullopt if it does not say.
    std::optional<Duration> warmUpLeft;
    std::string faultyServer; ///< Id or address of the server that caused the refusal, if given.
    std::optional<ReportedLoad> load;
};

/// Translates between the header names and data formats of a deployment and the types of the
/// gateway. Implementations make no decisions.
class GatewayProtocol
{
public:
    virtual ~GatewayProtocol() = default;

    /// Parses the headers of a caller's request.
    virtual RequestMetadata parseRequestHeaders(const HttpHeaders &headers) const = 0;

    /// Returns the request headers for a backend server: \a callerHeaders without hop-by-hop
    /// headers and headers reserved for the system, plus \a metadata.
    virtual HttpHeaders dispatchHeaders(const HttpHeaders &callerHeaders,
                                        const DispatchMetadata &metadata) const = 0;

    /// Returns the headers of a caller's request that another host needs to forward it: without
    /// hop-by-hop headers and the API key.
    virtual HttpHeaders relayHeaders(const HttpHeaders &callerHeaders) const = 0;

    /// Returns a request that any server at \a endpoint answers and none runs.
    virtual HttpRequest probeRequest(const Endpoint &endpoint) const = 0;

    /// Returns a request that no server runs and whose response shows which incarnation of \a
    /// server sent it. \a healthPath is that of its pool.
    virtual HttpRequest identityProbe(const GatewayServer &server,
                                      const std::string &healthPath) const = 0;

    /// Returns true if \a response, to a probe of \a server, comes from the incarnation that its
    /// entry names.
    virtual bool isFromIncarnation(const GatewayServer &server,
                                   const HttpResponse &response) const = 0;

    /// Returns the header and value that a server must echo in its response to the request.
    virtual std::pair<std::string, std::string>
    expectedEcho(const RequestMetadata &metadata) const = 0;

    /// Returns the HTTP request that transmits \a request.
    virtual HttpRequest reservationRequest(const MemoryReservationRequest &request) const = 0;

    /// Parses the head of a server's response.
    virtual ResponseMetadata parseResponseHead(int status, const HttpHeaders &headers) const = 0;

    /// Returns the headers of a server's response that are forwarded to the caller.
    virtual HttpHeaders forwardedResponseHeaders(const HttpHeaders &headers) const = 0;

    /// Returns the headers of a refusal that the gateway sends in response to \a metadata.
    virtual HttpHeaders refusalHeaders(const RequestMetadata &metadata,
                                       std::optional<Duration> retryAfter) const = 0;

    /// Parses a configuration; returns an error message if it is not valid.
    virtual tl::expected<GatewayConfiguration, std::string>
    parseConfiguration(const std::string &text) const = 0;

    /// Parses the registration entry of the backend server \a name; returns an error message if it
    /// is not valid.
    virtual tl::expected<GatewayServer, std::string> parseServer(const std::string &name,
                                                                 const std::string &text) const = 0;
};

} // namespace dotterel
