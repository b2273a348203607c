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

/// What the headers of a caller's request say.
struct CallerFacts
{
    std::string requestId;            ///< Each attempt of a caller has its own.
    std::string host;                 ///< Of the URL, without a port.
    std::optional<Duration> patience; ///< How long the caller waits.
    std::string key;                  ///< Names the workspace; empty if there is none.
    std::uint64_t promptTokens = 0;   ///< 0 if the request is no prompt.
    std::uint64_t outputTokens = 0;
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has.
};

/// An engine that reads a part of a prompt.
struct DispatchHelper
{
    Endpoint endpoint;
    std::string ticket; ///< Of the memory that is reserved there; empty if there is none.
};

/// Asks an engine to reserve memory, or to give it back.
struct MemoryOrder
{
    std::string ticket; ///< Names the reservation; the same one again renews it.
    ServerId server;
    Endpoint endpoint;
    std::uint64_t tokens = 0;         ///< 0 gives the memory back.
    Duration hold = Duration::zero(); ///< How long, from the arrival of the order.
};

/// What is told to a backend server besides the caller's own headers.
struct DispatchFacts
{
    Duration timeLeft = Duration::zero();
    ServerId expectedServer;             ///< Another server at that address refuses the request.
    std::string workspace;               ///< Empty on open routes.
    std::vector<DispatchHelper> helpers; ///< Engines that read parts of the prompt.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that was passed on.
};

/// What the head of a backend server's answer says.
struct AnswerFacts
{
    bool isSigned = false;    ///< The server vouches for the answer.
    bool notRun = false;      ///< The server promises that the request has not run and never will.
    bool wrongServer = false; ///< Another server has the address.
    bool isEncoded = false;   ///< The body is not what the server made.
    std::string faultyServer; ///< Id or address of the server that made it refuse, if it says so.
    std::optional<ReportedLoad> load;
};

/// How a deployment writes what the gateway reads and sends. Decides nothing.
class GatewayProtocol
{
public:
    virtual ~GatewayProtocol() = default;

    /// Reads the headers of a caller's request.
    virtual CallerFacts readCaller(const HttpHeaders &headers) const = 0;

    /// Returns the headers that go to a server: the caller's, without those that concern only its
    /// connection or that only the system may set, and \a facts.
    virtual HttpHeaders dispatchHeaders(const HttpHeaders &callers,
                                        const DispatchFacts &facts) const = 0;

    /// Header and value that a server echoes in the answer to \a facts.
    virtual std::pair<std::string, std::string> echo(const CallerFacts &facts) const = 0;

    /// Returns the call that carries \a order.
    virtual HttpRequest memoryRequest(const MemoryOrder &order) const = 0;

    /// Reads the head of a server's answer.
    virtual AnswerFacts readAnswer(int status, const HttpHeaders &headers) const = 0;

    /// Returns the headers of a server's answer that go to the caller.
    virtual HttpHeaders answerHeaders(const HttpHeaders &headers) const = 0;

    /// Returns the headers of an answer of the system's own to \a facts.
    virtual HttpHeaders refusalHeaders(const CallerFacts &facts,
                                       std::optional<Duration> retryAfter) const = 0;

    /// Reads a configuration; the error says what is wrong.
    virtual tl::expected<GatewayConfiguration, std::string>
    readConfiguration(const std::string &text) const = 0;

    /// Reads the entry of the backend server \a name; the error says what is wrong.
    virtual tl::expected<GatewayServer, std::string> readServer(const std::string &name,
                                                                const std::string &text) const = 0;
};

} // namespace dotterel
