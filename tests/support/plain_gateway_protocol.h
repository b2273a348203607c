#pragma once

#include "gateway/gateway_protocol.h"

namespace dotterel::support {

/// A GatewayProtocol with header names of its own and bare numbers, for tests of the gateway.
///
/// Callers send Id, Patience-Ms, Key, Tokens ("P,A"), Parts ("ID:TOKENS,...") and After; servers
/// answer with Signed, Not-Run, Load and Limit. A configuration or a server is read from a table
/// that the test fills.
class PlainGatewayProtocol : public GatewayProtocol
{
public:
    RequestMetadata parseRequestHeaders(const HttpHeaders &headers) const override;
    HttpHeaders dispatchHeaders(const HttpHeaders &callers,
                                const DispatchMetadata &facts) const override;
    HttpHeaders relayHeaders(const HttpHeaders &callers) const override;
    HttpRequest probeRequest(const Endpoint &endpoint) const override;
    HttpRequest identityProbe(const GatewayServer &server,
                              const std::string &healthPath) const override;
    bool isFromIncarnation(const GatewayServer &server,
                           const HttpResponse &response) const override;
    std::pair<std::string, std::string> expectedEcho(const RequestMetadata &facts) const override;
    HttpRequest reservationRequest(const MemoryReservationRequest &order) const override;
    ResponseMetadata parseResponseHead(int status, const HttpHeaders &headers) const override;
    HttpHeaders forwardedResponseHeaders(const HttpHeaders &headers) const override;
    HttpHeaders refusalHeaders(const RequestMetadata &facts,
                               std::optional<Duration> retryAfter) const override;
    tl::expected<GatewayConfiguration, std::string>
    parseConfiguration(const std::string &text) const override;
    tl::expected<GatewayServer, std::string> parseServer(const std::string &name,
                                                         const std::string &text) const override;

    std::map<std::string, GatewayConfiguration> configurations; ///< By text.
    std::map<std::string, GatewayServer> servers;               ///< By text.
};

} // namespace dotterel::support
