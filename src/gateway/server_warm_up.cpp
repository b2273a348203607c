#include "gateway/server_warm_up.h"

#include "core/enum_names.h"
#include "core/hashing.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<WarmUpSource>, 5> WarmUpSourceNames = {{
        {WarmUpSource::Start, "start"},
        {WarmUpSource::Outage, "outage"},
        {WarmUpSource::Entry, "entry"},
        {WarmUpSource::Answer, "answer"},
        {WarmUpSource::Host, "host"},
}};

/// Longest warm-up that a server may state.
constexpr Duration MaxWarmUp = std::chrono::minutes(10);
/// An entry may have been written this long before it is read here.
constexpr Duration MaxEntryDelay = std::chrono::seconds(2);
/// Changes of the end of a warm-up that are too small to be told.
constexpr Duration NegligibleChange = std::chrono::milliseconds(250);

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::string_view warmUpSourceName(WarmUpSource source)
{
    return enumName(WarmUpSourceNames, source);
}

Duration ServerWarmUps::warmUpTime(const std::string &pool) const
{
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? Duration::zero() : found->second.warmUpTime;
}

double ServerWarmUps::rateOf(const std::string &pool) const
{
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? 0 : found->second.warmUpRate;
}

bool ServerWarmUps::onEntry(const GatewayServer &server, bool hasStarted, TimePoint now)
{
    const Duration stated = server.warmUpLeft.value_or(Duration::zero());
    // The first entry may have been written before the server knew that it gets requests.
    const Duration assumed = hasStarted ? this->warmUpTime(server.pool) : Duration::zero();
    if (assumed > stated)
        return this->hear(server, WarmUpSource::Start, now, now + assumed, now);
    if (!server.warmUpLeft)
        return false;
    const auto found = this->records.find(server.id);
    // A response is never older than the entry that arrives just after it.
    if (stated == Duration::zero() && found != this->records.end()
        && found->second.source == WarmUpSource::Answer
        && now - found->second.heardAt < MaxEntryDelay)
        return false;
    return this->hear(server, WarmUpSource::Entry, now, now + stated, now);
}

bool ServerWarmUps::onAnswer(const GatewayServer &server, Duration left, TimePoint sentAt,
                             TimePoint now)
{
    const auto found = this->records.find(server.id);
    // The answer to an earlier request may have been written before the warm-up began.
    if (left == Duration::zero()
        && (found == this->records.end() || sentAt <= found->second.heardAt))
        return false;
    return this->hear(server, WarmUpSource::Answer, now, now + left, now);
}

bool ServerWarmUps::onConnectionRefused(const GatewayServer &server, Duration retryTime,
                                        TimePoint now)
{
    const Duration warmUp = this->warmUpTime(server.pool);
    if (warmUp == Duration::zero())
        return false;
    return this->hear(server, WarmUpSource::Outage, now, now + retryTime + warmUp, now);
}

bool ServerWarmUps::onNotice(const GatewayServer &server, const ServerWarmUpNotice &notice,
                             TimePoint now)
{
    const TimePoint heardAt = now - notice.age;
    const auto found = this->records.find(server.id);
    if (found != this->records.end() && found->second.incarnation == server.incarnation
        && found->second.heardAt >= heardAt)
        return false;
    return this->hear(server, WarmUpSource::Host, heardAt, now + notice.left, now);
}

bool ServerWarmUps::hear(const GatewayServer &server, WarmUpSource source, TimePoint heardAt,
                         TimePoint until, TimePoint now)
{
    const double rate = this->rateOf(server.pool);
    const auto found = this->records.find(server.id);
    const bool isKnown =
            found != this->records.end() && found->second.incarnation == server.incarnation;
    if (rate <= 0 || (!isKnown && until <= now))
        return false;
    Record &record = this->records[server.id];
    if (!isKnown)
        record = Record();
    record.incarnation = server.incarnation;
    const bool wasWarmingUp = record.until > now;
    const TimePoint earlier = record.until;
    record.source = source;
    record.heardAt = heardAt;
    record.until = std::min(until, now + MaxWarmUp);
    const bool isWarmingUp = record.until > now;
    if (wasWarmingUp && isWarmingUp)
        return std::chrono::abs(record.until - earlier) >= NegligibleChange;
    if (!wasWarmingUp && isWarmingUp) {
        this->logEnd(server.id, record, earlier);
        record.startedAt = now;
        record.isLogged = true;
        this->log.write(Event::ServerWarmingUp, {{"server", server.id},
                                                 {"source", std::string(warmUpSourceName(source))},
                                                 {"left_ms", toMs(record.until - now)},
                                                 {"per_second", rate}});
    }
    if (wasWarmingUp && !isWarmingUp)
        this->logEnd(server.id, record, now);
    return wasWarmingUp != isWarmingUp;
}

void ServerWarmUps::logEnd(const ServerId &server, Record &record, TimePoint endedAt)
{
    if (!record.isLogged)
        return;
    record.isLogged = false;
    this->log.write(Event::ServerWarm, {{"server", server},
                                        {"source", std::string(warmUpSourceName(record.source))},
                                        {"took_ms", toMs(endedAt - record.startedAt)}});
}

std::optional<WarmUpTerm> ServerWarmUps::term(const GatewayServer &server) const
{
    const auto found = this->records.find(server.id);
    const double rate = this->rateOf(server.pool);
    if (found == this->records.end() || found->second.incarnation != server.incarnation
        || rate <= 0)
        return std::nullopt;
    return WarmUpTerm{rate, found->second.until};
}

bool ServerWarmUps::isWarmingUp(const GatewayServer &server, TimePoint now) const
{
    const std::optional<WarmUpTerm> term = this->term(server);
    return term && term->until > now;
}

std::optional<ServerWarmUpNotice> ServerWarmUps::notice(const GatewayServer &server,
                                                        TimePoint now) const
{
    const auto found = this->records.find(server.id);
    if (found == this->records.end() || found->second.incarnation != server.incarnation)
        return std::nullopt;
    const Record &record = found->second;
    return ServerWarmUpNotice{hash32(server.id), server.incarnation,
                              std::max(Duration::zero(), record.until - now), now - record.heardAt,
                              0};
}

std::size_t ServerWarmUps::settle(TimePoint now)
{
    std::size_t warmingUp = 0;
    for (auto &[server, record] : this->records) {
        if (record.until > now)
            ++warmingUp;
        else
            this->logEnd(server, record, record.until);
    }
    return warmingUp;
}

} // namespace dotterel
