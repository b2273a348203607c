#include "gateway/prompt_updates.h"

#include "core/hashing.h"
#include "core/json_input.h"
#include "protocol/cbor.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::int64_t MicrosecondsPerMs = 1'000;
constexpr double ValueScale = 1'000.0;
constexpr std::size_t MaxUpdates = 1'000;
/// Longer than the deadline of any prompt.
constexpr Duration MaxRunningAge = std::chrono::minutes(10);
/// Longer than a host remembers the warm-up of a server that is still there.
constexpr Duration MaxWarmUpAge = std::chrono::hours(24 * 365);
constexpr const char *JoinedKey = "joined";
constexpr const char *RunningKey = "running";
constexpr const char *LeavingKey = "leaving";
constexpr const char *LimitsKey = "limits";
constexpr const char *WarmUpsKey = "warm_ups";
constexpr const char *OutOfReachKey = "unreached";
constexpr const char *WorkingKey = "working";
constexpr const char *RetryAsksKey = "retry_asks";
constexpr const char *RetryLoansKey = "retry_loans";

std::int64_t toMs(Duration duration)
{
    return duration.count() / MicrosecondsPerMs;
}

Duration durationFromMs(const nlohmann::json &json)
{
    constexpr std::int64_t MaxMs = 1'000'000'000'000;
    const bool fits = json.is_number_unsigned()
                              ? json.get<std::uint64_t>() <= MaxMs
                              : json.is_number_integer() && json.get<std::int64_t>() >= -MaxMs;
    if (!fits)
        throw nlohmann::json::other_error::create(501, "duration out of range", &json);
    return std::chrono::milliseconds(json.get<std::int64_t>());
}

nlohmann::json encodeUpdate(const PromptUpdate &update)
{
    nlohmann::json row = {static_cast<int>(update.kind), update.sequence};
    if (update.kind == PromptUpdateKind::Ended)
        return row;
    row.push_back(update.serverHash);
    if (update.kind != PromptUpdateKind::Dispatched)
        return row;
    const PromptDemand &demand = update.demand;
    row.insert(row.end(),
               {demand.promptTokens, demand.outputTokens, toMs(demand.firstEventTarget),
                toMs(demand.maxEventGap), toMs(demand.elapsed), toMs(demand.callerTimeLeft),
                static_cast<std::int64_t>(demand.value * ValueScale)});
    for (std::size_t index = 0; index < update.helperHashes.size(); ++index) {
        row.push_back(update.helperHashes[index]);
        row.push_back(update.helperMemoryTokens.at(index));
    }
    return row;
}

PromptUpdate decodeUpdate(const nlohmann::json &row)
{
    PromptUpdate update;
    const int kind = row.at(0).get<int>();
    if (kind < 0 || kind > static_cast<int>(PromptUpdateKind::Unanswered))
        throw nlohmann::json::other_error::create(501, "unknown prompt update kind", &row);
    update.kind = static_cast<PromptUpdateKind>(kind);
    update.sequence = toUnsigned<std::uint64_t>(row.at(1));
    if (update.kind == PromptUpdateKind::Ended)
        return update;
    std::size_t column = 2;
    update.serverHash = toUnsigned<std::uint32_t>(row.at(column++));
    if (update.kind != PromptUpdateKind::Dispatched)
        return update;
    update.demand.promptTokens = toUnsigned<std::uint64_t>(row.at(column++));
    update.demand.outputTokens = toUnsigned<std::uint64_t>(row.at(column++));
    update.demand.firstEventTarget = durationFromMs(row.at(column++));
    update.demand.maxEventGap = durationFromMs(row.at(column++));
    update.demand.elapsed = durationFromMs(row.at(column++));
    update.demand.callerTimeLeft = durationFromMs(row.at(column++));
    update.demand.value = row.at(column++).get<double>() / ValueScale;
    while (column < row.size()) {
        update.helperHashes.push_back(toUnsigned<std::uint32_t>(row.at(column++)));
        update.helperMemoryTokens.push_back(toUnsigned<std::uint64_t>(row.at(column++)));
    }
    return update;
}

nlohmann::json encodeRunning(const RunningPrompt &prompt)
{
    return {toMs(prompt.age), toMs(prompt.prefillLeft), encodeUpdate(prompt.dispatch)};
}

RunningPrompt decodeRunning(const nlohmann::json &row)
{
    RunningPrompt prompt;
    prompt.age = durationFromMs(row.at(0));
    prompt.prefillLeft = durationFromMs(row.at(1));
    prompt.dispatch = decodeUpdate(row.at(2));
    const bool plausible = prompt.age >= Duration::zero() && prompt.age <= MaxRunningAge
                           && prompt.prefillLeft >= Duration::zero()
                           && prompt.prefillLeft <= MaxRunningAge
                           && prompt.dispatch.kind == PromptUpdateKind::Dispatched;
    if (!plausible)
        throw nlohmann::json::other_error::create(502, "implausible running prompt", &row);
    return prompt;
}

nlohmann::json encodeLimit(const ServerLimitNotice &notice)
{
    nlohmann::json row = {notice.serverHash, notice.incarnation, notice.revision, notice.sent};
    if (notice.limit)
        row.push_back(*notice.limit);
    return row;
}

ServerLimitNotice decodeLimit(const nlohmann::json &row)
{
    constexpr std::size_t LimitColumn = 4;
    ServerLimitNotice notice;
    notice.serverHash = toUnsigned<std::uint32_t>(row.at(0));
    notice.incarnation = toUnsigned<std::uint64_t>(row.at(1));
    notice.revision = toUnsigned<std::uint64_t>(row.at(2));
    notice.sent = toUnsigned<std::uint64_t>(row.at(3));
    if (row.size() > LimitColumn)
        notice.limit = row.at(LimitColumn).get<double>();
    if (notice.limit && !(std::isfinite(*notice.limit) && *notice.limit >= 0))
        throw nlohmann::json::other_error::create(505, "implausible limit of a server", &row);
    return notice;
}

/// Decodes the list of hashes \a key, if it is there.
std::vector<std::uint32_t> decodeHashes(const nlohmann::json &json, const char *key)
{
    const auto list = json.find(key);
    if (list == json.end())
        return {};
    if (list->size() > MaxUpdates)
        throw nlohmann::json::other_error::create(507, "more than 1000 hashes", &json);
    return list->get<std::vector<std::uint32_t>>();
}

nlohmann::json encodeWarmUp(const ServerWarmUpNotice &notice)
{
    return {notice.serverHash, notice.incarnation, toMs(notice.left), toMs(notice.age),
            notice.sent};
}

ServerWarmUpNotice decodeWarmUp(const nlohmann::json &row)
{
    ServerWarmUpNotice notice;
    std::size_t column = 0;
    notice.serverHash = toUnsigned<std::uint32_t>(row.at(column++));
    notice.incarnation = toUnsigned<std::uint64_t>(row.at(column++));
    notice.left = durationFromMs(row.at(column++));
    notice.age = durationFromMs(row.at(column++));
    notice.sent = toUnsigned<std::uint64_t>(row.at(column++));
    const bool plausible = notice.left >= Duration::zero() && notice.left <= MaxWarmUpAge
                           && notice.age >= Duration::zero() && notice.age <= MaxWarmUpAge;
    if (!plausible)
        throw nlohmann::json::other_error::create(508, "implausible warm-up of a server", &row);
    return notice;
}

double decodeAmount(const nlohmann::json &json)
{
    const auto amount = json.get<double>();
    if (!(std::isfinite(amount) && amount >= 0))
        throw nlohmann::json::other_error::create(510, "implausible part of a budget", &json);
    return amount;
}

/// Decodes the notices about the retry budget.
void decodeRetryNotices(const nlohmann::json &json, PromptUpdateBatch &batch)
{
    for (const char *key : {RetryAsksKey, RetryLoansKey}) {
        if (json.contains(key) && json.at(key).size() > MaxUpdates)
            throw nlohmann::json::other_error::create(511, "more than 1000 retry notices", &json);
    }
    if (const auto asks = json.find(RetryAsksKey); asks != json.end()) {
        for (const nlohmann::json &row : *asks)
            batch.retryAsks.push_back({toUnsigned<std::uint32_t>(row.at(0)),
                                       toUnsigned<std::uint64_t>(row.at(1)),
                                       decodeAmount(row.at(2)), decodeAmount(row.at(3))});
    }
    if (const auto loans = json.find(RetryLoansKey); loans != json.end()) {
        for (const nlohmann::json &row : *loans)
            batch.retryLoans.push_back({toUnsigned<std::uint32_t>(row.at(0)),
                                        toUnsigned<std::uint64_t>(row.at(1)),
                                        decodeAmount(row.at(2))});
    }
}

/// Decodes the fields that hosts of earlier versions do not send.
void decodeExtension(const nlohmann::json &json, PromptUpdateBatch &batch)
{
    if (const auto joined = json.find(JoinedKey); joined != json.end()) {
        Endpoint endpoint{joined->at(0).get<std::string>(),
                          toUnsigned<std::uint16_t>(joined->at(1))};
        if (!isIpv4Address(endpoint.address))
            throw nlohmann::json::other_error::create(512, "not an IPv4 address", &json);
        batch.joinedAt = std::move(endpoint);
    }
    if (const auto leaving = json.find(LeavingKey); leaving != json.end()) {
        if (leaving->size() > MaxUpdates)
            throw nlohmann::json::other_error::create(504, "more than 1000 leaving servers", &json);
        for (const nlohmann::json &row : *leaving)
            batch.leavingServers.push_back(
                    {toUnsigned<std::uint32_t>(row.at(0)), toUnsigned<std::uint64_t>(row.at(1))});
    }
    if (const auto limits = json.find(LimitsKey); limits != json.end()) {
        if (limits->size() > MaxUpdates)
            throw nlohmann::json::other_error::create(506, "more than 1000 limits", &json);
        for (const nlohmann::json &row : *limits)
            batch.limits.push_back(decodeLimit(row));
    }
    if (const auto warmUps = json.find(WarmUpsKey); warmUps != json.end()) {
        if (warmUps->size() > MaxUpdates)
            throw nlohmann::json::other_error::create(509, "more than 1000 warm-ups", &json);
        for (const nlohmann::json &row : *warmUps)
            batch.warmUps.push_back(decodeWarmUp(row));
    }
    decodeRetryNotices(json, batch);
    batch.poolsOutOfReach = decodeHashes(json, OutOfReachKey);
    batch.workingServers = decodeHashes(json, WorkingKey);
    const auto running = json.find(RunningKey);
    if (running == json.end())
        return;
    if (running->size() > MaxUpdates)
        throw nlohmann::json::other_error::create(503, "more than 1000 running prompts", &json);
    for (const nlohmann::json &row : *running)
        batch.running.push_back(decodeRunning(row));
}

} // namespace

std::uint32_t promptSenderHash(const HostIdentity &identity)
{
    return hash32(identity.host + "/" + std::to_string(identity.incarnation));
}

std::string encodePromptUpdates(const PromptUpdateBatch &batch)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const PromptUpdate &update : batch.updates)
        rows.push_back(encodeUpdate(update));
    nlohmann::json json = {batch.senderHash, std::move(rows)};
    nlohmann::json extension = nlohmann::json::object();
    if (batch.joinedAt)
        extension[JoinedKey] = {batch.joinedAt->address, batch.joinedAt->port};
    for (const ServerLeavingNotice &notice : batch.leavingServers)
        extension[LeavingKey].push_back({notice.serverHash, notice.incarnation});
    for (const ServerLimitNotice &notice : batch.limits)
        extension[LimitsKey].push_back(encodeLimit(notice));
    for (const ServerWarmUpNotice &notice : batch.warmUps)
        extension[WarmUpsKey].push_back(encodeWarmUp(notice));
    if (!batch.poolsOutOfReach.empty())
        extension[OutOfReachKey] = batch.poolsOutOfReach;
    if (!batch.workingServers.empty())
        extension[WorkingKey] = batch.workingServers;
    for (const RetryAsk &ask : batch.retryAsks)
        extension[RetryAsksKey].push_back({ask.poolHash, ask.number, ask.tokens, ask.value});
    for (const RetryLoan &loan : batch.retryLoans)
        extension[RetryLoansKey].push_back({loan.poolHash, loan.number, loan.tokens});
    for (const RunningPrompt &prompt : batch.running)
        extension[RunningKey].push_back(encodeRunning(prompt));
    if (!extension.empty())
        json.push_back(std::move(extension));
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

std::string wrapForForwarding(std::string_view batch)
{
    const std::vector<std::uint8_t> payload(batch.begin(), batch.end());
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json::array({nlohmann::json::binary(payload)}), bytes);
    return bytes;
}

std::optional<std::string> unwrapForwarded(std::string_view bytes)
{
    // A CBOR array of one item; a batch has two or three.
    constexpr char ArrayOfOne = '\x81';
    if (bytes.empty() || bytes.front() != ArrayOfOne)
        return std::nullopt;
    const nlohmann::json json = parseCbor(bytes);
    if (!json.is_array() || json.size() != 1 || !json.at(0).is_binary())
        return std::nullopt;
    const auto &payload = json.at(0).get_binary();
    return std::string(payload.begin(), payload.end());
}

tl::expected<PromptUpdateBatch, std::string> decodePromptUpdates(std::string_view bytes)
{
    const nlohmann::json json = parseCbor(bytes);
    if (!json.is_array())
        return tl::unexpected(std::string("the datagram is not a CBOR array"));
    try {
        PromptUpdateBatch batch;
        batch.senderHash = toUnsigned<std::uint32_t>(json.at(0));
        if (json.at(1).size() > MaxUpdates)
            return tl::unexpected(std::string("the datagram has more than 1000 updates"));
        for (const nlohmann::json &row : json.at(1))
            batch.updates.push_back(decodeUpdate(row));
        if (json.size() > 2)
            decodeExtension(json.at(2), batch);
        return batch;
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
