#include "support/plain_gateway_protocol.h"

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

} // namespace

CallerFacts PlainGatewayProtocol::readCaller(const HttpHeaders &headers) const
{
    CallerFacts facts;
    facts.requestId = valueOf(headers, "Id");
    facts.host = valueOf(headers, "Host");
    facts.key = valueOf(headers, "Key");
    if (const std::string *patience = findHeader(headers, "Patience-Ms"))
        facts.patience = std::chrono::milliseconds(numberOf(*patience));
    if (const std::string *after = findHeader(headers, "After"))
        facts.resumeAfter = numberOf(*after);
    const std::string tokens = valueOf(headers, "Tokens");
    const std::size_t comma = tokens.find(',');
    if (comma != std::string::npos) {
        facts.promptTokens = numberOf(tokens.substr(0, comma));
        facts.outputTokens = numberOf(tokens.substr(comma + 1));
    }
    return facts;
}

HttpHeaders PlainGatewayProtocol::dispatchHeaders(const HttpHeaders &callers,
                                                  const DispatchFacts &facts) const
{
    HttpHeaders headers;
    for (const auto &header : callers) {
        if (header.first != "Patience-Ms" && header.first != "Key" && header.first != "After")
            headers.push_back(header);
    }
    headers.emplace_back("Left-Ms", std::to_string(facts.timeLeft.count() / 1'000));
    headers.emplace_back("Server", facts.expectedServer);
    headers.emplace_back("Workspace", facts.workspace);
    if (facts.resumeAfter)
        headers.emplace_back("After", std::to_string(*facts.resumeAfter));
    for (const DispatchHelper &helper : facts.helpers)
        headers.emplace_back("Helper", helper.endpoint.text() + "/" + helper.ticket);
    return headers;
}

std::pair<std::string, std::string> PlainGatewayProtocol::echo(const CallerFacts &facts) const
{
    return {"Id", facts.requestId};
}

HttpRequest PlainGatewayProtocol::memoryRequest(const MemoryOrder &order) const
{
    HttpRequest request;
    request.endpoint = order.endpoint;
    request.method = "POST";
    request.target = "/memory/" + order.ticket;
    return request;
}

AnswerFacts PlainGatewayProtocol::readAnswer(int status, const HttpHeaders &headers) const
{
    constexpr int Misdirected = 421;
    AnswerFacts facts;
    facts.isSigned = findHeader(headers, "Signed") != nullptr;
    facts.wrongServer = status == Misdirected;
    facts.notRun = facts.wrongServer || findHeader(headers, "Not-Run") != nullptr;
    facts.isEncoded = findHeader(headers, "Content-Encoding") != nullptr;
    return facts;
}

HttpHeaders PlainGatewayProtocol::refusalHeaders(const CallerFacts &facts,
                                                 std::optional<Duration> retryAfter) const
{
    HttpHeaders headers = {{"Id", facts.requestId}};
    if (retryAfter)
        headers.emplace_back("Retry-After-Ms", std::to_string(retryAfter->count() / 1'000));
    return headers;
}

tl::expected<GatewayConfiguration, std::string>
PlainGatewayProtocol::readConfiguration(const std::string &text) const
{
    const auto found = this->configurations.find(text);
    if (found == this->configurations.end())
        return tl::unexpected("no configuration \"" + text + "\"");
    return found->second;
}

tl::expected<GatewayServer, std::string>
PlainGatewayProtocol::readServer(const std::string & /*name*/, const std::string &text) const
{
    const auto found = this->servers.find(text);
    if (found == this->servers.end())
        return tl::unexpected("no server \"" + text + "\"");
    return found->second;
}

} // namespace dotterel::support
