#include "support/plain_gateway_protocol.h"

#include <algorithm>

namespace dotterel::support {

namespace {

std::string valueOf(const HttpHeaders &headers, const char *name)
{
    const std::string *value = findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

/// Returns \a headers without those that concern one connection only.
HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders result;
    for (const auto &header : headers) {
        if (header.first != "Content-Length" && header.first != "Connection"
            && header.first != "Transfer-Encoding")
            result.push_back(header);
    }
    return result;
}

} // namespace

RequestMetadata PlainGatewayProtocol::parseRequestHeaders(const HttpHeaders &headers) const
{
    RequestMetadata facts;
    facts.requestId = valueOf(headers, "Id");
    facts.hostName = valueOf(headers, "Host");
    facts.apiKey = valueOf(headers, "Key");
    if (const std::string *patience = findHeader(headers, "Patience-Ms"))
        facts.callerTimeout = std::chrono::milliseconds(numberOf(*patience));
    if (const std::string *after = findHeader(headers, "After"))
        facts.resumeAfter = numberOf(*after);
    const std::string tokens = valueOf(headers, "Tokens");
    const std::size_t comma = tokens.find(',');
    if (comma != std::string::npos) {
        facts.promptTokens = numberOf(tokens.substr(0, comma));
        facts.outputTokens = numberOf(tokens.substr(comma + 1));
    }
    std::string parts = valueOf(headers, "Parts");
    for (std::size_t comma = parts.find(','); comma != std::string::npos; comma = parts.find(',')) {
        facts.sharedPromptParts.push_back(parts.substr(0, parts.find(':')));
        parts.erase(0, comma + 1);
    }
    return facts;
}

HttpHeaders PlainGatewayProtocol::dispatchHeaders(const HttpHeaders &callers,
                                                  const DispatchMetadata &facts) const
{
    HttpHeaders headers;
    for (const auto &header : callers) {
        if (header.first != "Patience-Ms" && header.first != "Key" && header.first != "After")
            headers.push_back(header);
    }
    headers.emplace_back("Left-Ms", std::to_string(facts.remainingTime.count() / 1'000));
    headers.emplace_back("Server", facts.expectedServer);
    headers.emplace_back("Workspace", facts.workspace);
    if (facts.resumeAfter)
        headers.emplace_back("After", std::to_string(*facts.resumeAfter));
    for (const DispatchHelper &helper : facts.helpers)
        headers.emplace_back("Helper", helper.endpoint.text() + "/" + helper.reservationId);
    return headers;
}

HttpHeaders PlainGatewayProtocol::relayHeaders(const HttpHeaders &callers) const
{
    HttpHeaders headers = endToEndHeaders(callers);
    headers.erase(std::remove_if(headers.begin(), headers.end(),
                                 [](const auto &header) { return header.first == "Key"; }),
                  headers.end());
    return headers;
}

HttpRequest PlainGatewayProtocol::identityProbe(const GatewayServer &server,
                                                const std::string & /*healthPath*/) const
{
    return this->probeRequest(server.endpoint);
}

bool PlainGatewayProtocol::isFromIncarnation(const GatewayServer & /*server*/,
                                             const HttpResponse & /*response*/) const
{
    return true;
}

HttpRequest PlainGatewayProtocol::probeRequest(const Endpoint &endpoint) const
{
    HttpRequest request;
    request.endpoint = endpoint;
    request.target = "/probe";
    return request;
}

std::pair<std::string, std::string>
PlainGatewayProtocol::expectedEcho(const RequestMetadata &facts) const
{
    return {"Id", facts.requestId};
}

HttpRequest PlainGatewayProtocol::reservationRequest(const MemoryReservationRequest &order) const
{
    HttpRequest request;
    request.endpoint = order.endpoint;
    request.method = "POST";
    request.target = "/memory/" + order.reservationId;
    return request;
}

ResponseMetadata PlainGatewayProtocol::parseResponseHead(int status,
                                                         const HttpHeaders &headers) const
{
    constexpr int Misdirected = 421;
    ResponseMetadata facts;
    facts.isSigned = findHeader(headers, "Signed") != nullptr;
    facts.isWrongServer = status == Misdirected;
    facts.notRun = facts.isWrongServer || findHeader(headers, "Not-Run") != nullptr;
    facts.serverLeaving = findHeader(headers, "Leaving") != nullptr;
    if (const std::string *pause = findHeader(headers, "Pause-Ms"))
        facts.requestedPause = std::chrono::milliseconds(numberOf(*pause));
    if (const std::string *limit = findHeader(headers, "Limit")) {
        facts.hasInvalidLimit = *limit == "invalid";
        if (!facts.hasInvalidLimit)
            facts.requestLimit = std::stod(*limit);
    }
    if (const std::string *left = findHeader(headers, "Warm-Up-Ms"))
        facts.warmUpLeft = std::chrono::milliseconds(numberOf(*left));
    if (const std::string *faulty = findHeader(headers, "Faulty"))
        facts.faultyServer = *faulty;
    facts.hasContentEncoding = findHeader(headers, "Content-Encoding") != nullptr;
    return facts;
}

HttpHeaders PlainGatewayProtocol::forwardedResponseHeaders(const HttpHeaders &headers) const
{
    return endToEndHeaders(headers);
}

HttpHeaders PlainGatewayProtocol::refusalHeaders(const RequestMetadata &facts,
                                                 std::optional<Duration> retryAfter) const
{
    HttpHeaders headers = {{"Id", facts.requestId}};
    if (retryAfter)
        headers.emplace_back("Retry-After-Ms", std::to_string(retryAfter->count() / 1'000));
    return headers;
}

tl::expected<GatewayConfiguration, std::string>
PlainGatewayProtocol::parseConfiguration(const std::string &text) const
{
    const auto found = this->configurations.find(text);
    if (found == this->configurations.end())
        return tl::unexpected("no configuration \"" + text + "\"");
    return found->second;
}

tl::expected<GatewayServer, std::string>
PlainGatewayProtocol::parseServer(const std::string & /*name*/, const std::string &text) const
{
    const auto found = this->servers.find(text);
    if (found == this->servers.end())
        return tl::unexpected("no server \"" + text + "\"");
    return found->second;
}

} // namespace dotterel::support
