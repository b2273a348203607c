#include "gateway/relay_envelope.h"

#include "transport/http_message_parser.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace dotterel {

namespace {

// Headers between hosts; durations are in milliseconds.
constexpr const char *HeaderPrefix = "Dotterel-Relay-";
constexpr const char *OriginHeader = "Dotterel-Relay-Origin";
constexpr const char *PoolHeader = "Dotterel-Relay-Pool";
constexpr const char *WorkspaceHeader = "Dotterel-Relay-Workspace";
constexpr const char *TimeLeftHeader = "Dotterel-Relay-Time-Left";
constexpr const char *WaitedHeader = "Dotterel-Relay-Waited";
constexpr const char *AttemptsHeader = "Dotterel-Relay-Attempts";
constexpr const char *ResumeAfterHeader = "Dotterel-Relay-Resume-After";
constexpr const char *VerdictHeader = "Dotterel-Relay-Verdict";
constexpr const char *ReasonHeader = "Dotterel-Relay-Reason";
constexpr const char *RetryAfterHeader = "Dotterel-Relay-Retry-After";

/// Longer than any deadline.
constexpr std::int64_t MaxMilliseconds = 24LL * 3'600 * 1'000;

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

template <typename Number>
std::optional<Number> parseHeader(const HttpHeaders &headers, const char *name)
{
    const std::string *text = findHeader(headers, name);
    Number value{};
    if (text == nullptr)
        return std::nullopt;
    const auto result = std::from_chars(text->data(), text->data() + text->size(), value);
    if (result.ec != std::errc() || result.ptr != text->data() + text->size())
        return std::nullopt;
    return value;
}

std::optional<Duration> parseDuration(const HttpHeaders &headers, const char *name)
{
    const std::optional<std::int64_t> value = parseHeader<std::int64_t>(headers, name);
    if (!value || *value < 0 || *value > MaxMilliseconds)
        return std::nullopt;
    return std::chrono::milliseconds(*value);
}

void removeEnvelope(HttpHeaders &headers)
{
    const std::string_view prefix = HeaderPrefix;
    headers.erase(
            std::remove_if(headers.begin(), headers.end(),
                           [prefix](const auto &header) {
                               return equalHeaderNames(
                                       std::string_view(header.first).substr(0, prefix.size()),
                                       prefix);
                           }),
            headers.end());
}

} // namespace

HttpHeaders withRelayEnvelope(HttpHeaders headers, const RelayEnvelope &envelope)
{
    removeEnvelope(headers);
    headers.emplace_back(OriginHeader, envelope.origin);
    headers.emplace_back(PoolHeader, envelope.pool);
    headers.emplace_back(WorkspaceHeader, envelope.workspace);
    headers.emplace_back(TimeLeftHeader, millisecondsText(envelope.timeLeft));
    headers.emplace_back(WaitedHeader, millisecondsText(envelope.waited));
    headers.emplace_back(AttemptsHeader, std::to_string(envelope.attemptsSent));
    if (envelope.resumeAfter)
        headers.emplace_back(ResumeAfterHeader, std::to_string(*envelope.resumeAfter));
    return headers;
}

tl::expected<RelayEnvelope, std::string> takeRelayEnvelope(HttpHeaders &headers)
{
    for (const char *name : {OriginHeader, PoolHeader, WorkspaceHeader}) {
        if (findHeader(headers, name) == nullptr)
            return tl::unexpected(std::string(name));
    }
    const std::optional<Duration> timeLeft = parseDuration(headers, TimeLeftHeader);
    const std::optional<Duration> waited = parseDuration(headers, WaitedHeader);
    const std::optional<std::size_t> attempts = parseHeader<std::size_t>(headers, AttemptsHeader);
    if (!timeLeft)
        return tl::unexpected(std::string(TimeLeftHeader));
    if (!waited)
        return tl::unexpected(std::string(WaitedHeader));
    if (!attempts)
        return tl::unexpected(std::string(AttemptsHeader));
    RelayEnvelope envelope;
    envelope.origin = *findHeader(headers, OriginHeader);
    envelope.pool = *findHeader(headers, PoolHeader);
    envelope.workspace = *findHeader(headers, WorkspaceHeader);
    envelope.timeLeft = *timeLeft;
    envelope.waited = *waited;
    envelope.attemptsSent = *attempts;
    envelope.resumeAfter = parseHeader<std::uint64_t>(headers, ResumeAfterHeader);
    removeEnvelope(headers);
    return envelope;
}

void addRelayRefusal(HttpHeaders &headers, const RelayRefusal &refusal)
{
    headers.emplace_back(VerdictHeader, verdictName(refusal.verdict));
    headers.emplace_back(ReasonHeader, reasonInfo(refusal.reason).name);
    if (refusal.retryAfter)
        headers.emplace_back(RetryAfterHeader, millisecondsText(*refusal.retryAfter));
}

std::optional<RelayRefusal> parseRelayRefusal(const HttpHeaders &headers)
{
    const std::string *verdict = findHeader(headers, VerdictHeader);
    const std::string *reason = findHeader(headers, ReasonHeader);
    if (verdict == nullptr || reason == nullptr)
        return std::nullopt;
    RelayRefusal refusal;
    refusal.verdict = verdictFromName(*verdict).value_or(Verdict::MayHaveRun);
    refusal.reason = reasonFromName(*reason).value_or(Reason::BackendFailed);
    refusal.retryAfter = parseDuration(headers, RetryAfterHeader);
    return refusal;
}

} // namespace dotterel
