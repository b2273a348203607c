#include "gateway/server_limits.h"

#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

constexpr double HashRange = 4294967296.0; // 2^32
/// A request is one token.
constexpr double MinThreshold = 1.0;

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

ServerLimits::ServerLimits(const ServerLimitSettings &settings, std::uint32_t hostHash,
                           EventLog &log)
    : settings(settings)
    , hostHash(hostHash)
    , log(log)
{}

bool ServerLimits::onAnswer(const ServerId &server, std::uint64_t incarnation,
                            std::optional<double> limit, TimePoint sentAt, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() && !limit)
        return false;
    Record &record = this->records[server];
    if (record.incarnation != incarnation) {
        record = Record();
        record.incarnation = incarnation;
    }
    // The answer to an earlier request may have been written before the server named its limit.
    const bool mayBeOutdated = !limit && sentAt <= record.changedAt;
    if (record.limit == limit || mayBeOutdated)
        return false;
    ++record.revision;
    this->change(server, record, limit, "answer", now);
    return true;
}

bool ServerLimits::onNotice(const ServerId &server, std::uint32_t senderHash,
                            const ServerLimitNotice &notice, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() && !notice.limit)
        return false;
    Record &record = this->records[server];
    if (record.incarnation != notice.incarnation) {
        record = Record();
        record.incarnation = notice.incarnation;
    }
    // Two hosts may number different answers alike; the lower limit is the safer one.
    const bool isLower = notice.limit && (!record.limit || *notice.limit < *record.limit);
    const bool isNewer =
            notice.revision > record.revision || (notice.revision == record.revision && isLower);
    if (isNewer) {
        record.revision = notice.revision;
        if (record.limit != notice.limit)
            this->change(server, record, notice.limit, "host", now);
    }
    this->countElsewhere(record, senderHash, notice.sent, now);
    if (notice.revision >= record.revision)
        return false;
    if (record.correctedAt && now - *record.correctedAt < this->settings.correctionInterval)
        return false;
    record.correctedAt = now;
    return true;
}

void ServerLimits::countElsewhere(Record &record, std::uint32_t senderHash, std::uint64_t sent,
                                  TimePoint now)
{
    // The first notice of a host tells no more than that it may have sent one request just now.
    const auto [known, isFirst] = record.sentByHost.emplace(senderHash, sent);
    const std::uint64_t news =
            isFirst ? std::min<std::uint64_t>(sent, 1) : sent - std::min(sent, known->second);
    known->second = std::max(known->second, sent);
    this->take(record, news, now);
}

void ServerLimits::onSentElsewhere(const ServerId &server, std::uint64_t incarnation,
                                   std::uint32_t senderHash, std::uint64_t sent, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found != this->records.end() && found->second.incarnation == incarnation)
        this->countElsewhere(found->second, senderHash, sent, now);
}

void ServerLimits::onRequestElsewhere(const ServerId &server, std::uint32_t senderHash,
                                      TimePoint now)
{
    const auto found = this->records.find(server);
    if (found != this->records.end() && found->second.sentByHost.count(senderHash) == 0
        && this->warmUpRate(found->second, now))
        this->take(found->second, 1, now);
}

std::uint64_t ServerLimits::sentCount(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? 0 : found->second.sent;
}

void ServerLimits::setWarmUp(const ServerId &server, std::uint64_t incarnation,
                             const WarmUpTerm &term, TimePoint now)
{
    Record &record = this->records[server];
    if (record.incarnation != incarnation) {
        record = Record();
        record.incarnation = incarnation;
    }
    const bool wasWarmingUp = record.warmUp && record.warmUp->until > now;
    const double tokens = this->level(record, now);
    // What the server got just before its warm-up leaves nothing for the first moments.
    record.tokens = wasWarmingUp || term.until <= now ? tokens : std::min(tokens, 0.0);
    record.refilledAt = now;
    record.warmUp = term;
}

void ServerLimits::change(const ServerId &server, Record &record, std::optional<double> limit,
                          const char *source, TimePoint now)
{
    const bool isFirst = record.changedAt == TimePoint();
    this->log.write(Event::ServerLimited,
                    {{"server", server},
                     {"source", std::string(source)},
                     {"per_second", limit.value_or(-1)},
                     {"earlier_per_second", record.limit.value_or(-1)},
                     {"earlier_age_ms", isFirst ? 0 : toMs(now - record.changedAt)},
                     {"revision", static_cast<std::int64_t>(record.revision)}});
    // A server that names its first limit, or names one again, has just had its fill.
    record.tokens = record.limit ? this->level(record, now) : 0;
    record.refilledAt = now;
    if (record.limit)
        record.lastLimit = *record.limit;
    record.limit = limit;
    record.changedAt = now;
}

std::optional<double> ServerLimits::rate(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? std::nullopt : this->rate(found->second, now);
}

std::optional<double> ServerLimits::rate(const Record &record, TimePoint now) const
{
    const std::optional<double> limit = this->limitRate(record, now);
    const std::optional<double> warmUp = this->warmUpRate(record, now);
    if (limit && warmUp)
        return std::min(*limit, *warmUp);
    return limit ? limit : warmUp;
}

std::optional<double> ServerLimits::limitRate(const Record &record, TimePoint now) const
{
    if (record.limit)
        return std::max(*record.limit, this->settings.minRate) * this->fleetShare;
    return this->rampRate(record.lastLimit, now - record.changedAt);
}

std::optional<double> ServerLimits::warmUpRate(const Record &record, TimePoint now) const
{
    if (!record.warmUp)
        return std::nullopt;
    if (record.warmUp->until > now)
        return std::max(record.warmUp->rate, this->settings.minRate) * this->fleetShare;
    return this->rampRate(record.warmUp->rate, now - record.warmUp->until);
}

std::optional<double> ServerLimits::rampRate(double earlierRate, Duration sinceEnd) const
{
    if (sinceEnd >= this->settings.rampTime)
        return std::nullopt;
    const double doublings = toSeconds(sinceEnd) / toSeconds(this->settings.rampDoubling);
    return std::max(earlierRate, this->settings.minRampRate) * std::exp2(doublings)
           * this->fleetShare;
}

double ServerLimits::level(const Record &record, TimePoint now) const
{
    const std::optional<double> rate = this->rate(record, now);
    if (!rate)
        return this->settings.burst;
    return std::min(this->settings.burst,
                    record.tokens + *rate * toSeconds(now - record.refilledAt));
}

double ServerLimits::threshold(const ServerId &server, const Record &record) const
{
    const std::uint32_t draw = hash32(server + "/" + std::to_string(this->hostHash) + "/"
                                      + std::to_string(record.taken));
    return MinThreshold + (this->settings.burst - MinThreshold) * draw / HashRange;
}

bool ServerLimits::mayReceive(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || !this->rate(found->second, now))
        return true;
    return this->level(found->second, now) >= this->threshold(server, found->second);
}

TimePoint ServerLimits::opensAt(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    const std::optional<double> rate = this->rate(server, now);
    if (!rate)
        return now;
    const double missing = this->threshold(server, found->second) - this->level(found->second, now);
    return missing <= 0 ? now : now + fromSeconds(missing / *rate) + Duration(1);
}

bool ServerLimits::isLifting(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.limit)
        return false;
    const std::optional<WarmUpTerm> &warmUp = found->second.warmUp;
    const bool isWarmingUp = warmUp && warmUp->until > now;
    return !isWarmingUp && this->rate(found->second, now);
}

bool ServerLimits::onSent(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || !this->rate(found->second, now))
        return false;
    ++found->second.sent;
    this->take(found->second, 1, now);
    return true;
}

void ServerLimits::take(Record &record, std::uint64_t count, TimePoint now)
{
    const double maxDebt =
            this->settings.maxDebt
            + this->rate(record, now).value_or(0) * toSeconds(this->settings.maxDebtTime);
    record.tokens = std::max(-maxDebt, this->level(record, now) - static_cast<double>(count));
    record.refilledAt = now;
    record.taken += count;
}

std::optional<ServerLimitNotice> ServerLimits::notice(const ServerId &server) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.revision == 0)
        return std::nullopt;
    return this->notice(server, found->second);
}

ServerLimitNotice ServerLimits::notice(const ServerId &server, const Record &record) const
{
    return {hash32(server), record.incarnation, record.revision, record.limit, record.sent};
}

std::vector<ServerLimitNotice> ServerLimits::notices() const
{
    std::vector<ServerLimitNotice> result;
    for (const auto &[server, record] : this->records) {
        if (record.limit)
            result.push_back(this->notice(server, record));
    }
    return result;
}

std::size_t ServerLimits::limitedServers() const
{
    return static_cast<std::size_t>(
            std::count_if(this->records.begin(), this->records.end(),
                          [](const auto &entry) { return entry.second.limit.has_value(); }));
}

} // namespace dotterel
