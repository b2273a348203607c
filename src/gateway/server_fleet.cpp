#include "gateway/server_fleet.h"

#include "core/enum_names.h"
#include "core/hashing.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace dotterel {

namespace {

constexpr std::array<EnumName<ServerEvidence>, 6> ServerEvidenceNames = {{
        {ServerEvidence::Answered, "answered"},
        {ServerEvidence::Failed, "failed"},
        {ServerEvidence::Refused, "refused"},
        {ServerEvidence::Unreachable, "unreachable"},
        {ServerEvidence::Silent, "silent"},
        {ServerEvidence::Leaving, "leaving"},
}};

/// Prior counts of the failure rate, so that a single failure of a server without answers does not
/// give it a high rate.
constexpr double PriorAnswers = 3.0;
constexpr double PriorFailures = 0.05;
/// Weight of a refusal as a failure: it says little about the next attempt.
constexpr double RefusalWeight = 0.5;
constexpr int MaxSuspicionDoublings = 4;
constexpr double HashRange = 18446744073709551616.0; // 2^64

} // namespace

std::string_view serverEvidenceName(ServerEvidence evidence)
{
    return enumName(ServerEvidenceNames, evidence);
}

ServerFleet::ServerFleet(const FleetTimes &times, EventLog &log)
    : times(times)
    , log(log)
{}

bool ServerFleet::put(const GatewayServer &server, TimePoint now)
{
    const auto found = this->records.find(server.id);
    if (found != this->records.end() && !found->second.expiresAt
        && found->second.server.incarnation == server.incarnation) {
        Record &record = found->second;
        if (!record.server.draining && server.draining)
            this->log.write(Event::ServerDraining, {{"server", server.id}, {"source", "entry"}});
        record.server = server;
        return false;
    }
    const bool restarted =
            found != this->records.end() && found->second.server.incarnation != server.incarnation;
    if (found != this->records.end() && !restarted) {
        // The entry had expired and was written again; the recorded health still applies.
        found->second.expiresAt.reset();
        found->second.server = server;
        return false;
    }
    Record record;
    record.server = server;
    record.rank = static_cast<double>(hash64(server.id)) / HashRange;
    record.decayedAt = now;
    this->records[server.id] = record;
    this->log.write(Event::ServerUp, {{"server", server.id},
                                      {"pool", server.pool},
                                      {"endpoint", server.endpoint.text()},
                                      {"restarted", restarted}});
    return restarted;
}

void ServerFleet::remove(const ServerId &server, bool mayHaveLapsed, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return;
    const bool mayReturn =
            mayHaveLapsed && !found->second.server.draining && !found->second.announcedLeaving;
    this->log.write(Event::ServerDown,
                    {{"server", server}, {"source", "entry"}, {"may_have_lapsed", mayReturn}});
    if (mayReturn)
        found->second.expiresAt = now + this->times.lapsedGrace;
    else
        this->records.erase(found);
}

void ServerFleet::onEvidence(const ServerId &server, ServerEvidence evidence, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return;
    Record &record = found->second;
    this->decayCounts(record, now);
    switch (evidence) {
    case ServerEvidence::Answered:
        record.answers += 1;
        record.lastAnswer = now;
        record.suspicions = 0;
        record.suspectedUntil = TimePoint();
        break;
    case ServerEvidence::Failed:
        record.failures += 1;
        break;
    case ServerEvidence::Refused:
        record.failures += RefusalWeight;
        record.suspicions = 0;
        break;
    case ServerEvidence::Unreachable:
    case ServerEvidence::Silent:
        record.failures += 1;
        this->suspectServer(record, evidence, now);
        break;
    case ServerEvidence::Leaving:
        if (!record.announcedLeaving)
            this->log.write(Event::ServerDraining, {{"server", server}, {"source", "answer"}});
        record.announcedLeaving = true;
        break;
    }
}

void ServerFleet::suspectServer(Record &record, ServerEvidence evidence, TimePoint now)
{
    const bool answeredRecently =
            record.lastAnswer && now - *record.lastAnswer < this->times.recentAnswer;
    if (evidence == ServerEvidence::Silent && answeredRecently)
        return;
    if (record.lastCountedFailure && now - *record.lastCountedFailure < this->times.sameTrouble)
        return;
    record.lastCountedFailure = now;
    const int doublings = std::min(record.suspicions, MaxSuspicionDoublings);
    ++record.suspicions;
    const Duration suspicion =
            std::min(this->times.longestSuspicion, this->times.firstSuspicion * (1 << doublings));
    record.suspectedUntil = now + suspicion;
    this->log.write(Event::ServerDown,
                    {{"server", record.server.id},
                     {"source", std::string(serverEvidenceName(evidence))},
                     {"suspected_ms", static_cast<std::int64_t>(suspicion.count() / 1'000)}});
}

const GatewayServer *ServerFleet::find(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? nullptr : &found->second.server;
}

std::vector<const GatewayServer *> ServerFleet::usable(const std::string &pool, TimePoint now) const
{
    std::vector<const Record *> chosen;
    std::vector<const Record *> suspected;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || !this->isSchedulable(record, now))
            continue;
        (record.suspectedUntil > now ? suspected : chosen).push_back(&record);
    }
    if (chosen.empty())
        chosen = suspected;
    std::sort(chosen.begin(), chosen.end(),
              [](const Record *left, const Record *right) { return left->rank < right->rank; });
    std::vector<const GatewayServer *> servers;
    servers.reserve(chosen.size());
    for (const Record *record : chosen)
        servers.push_back(&record->server);
    return servers;
}

double ServerFleet::failureRate(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return 1.0;
    Record record = found->second;
    this->decayCounts(record, now);
    return (record.failures + PriorFailures)
           / (record.failures + record.answers + PriorAnswers + PriorFailures);
}

double ServerFleet::rank(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? 1.0 : found->second.rank;
}

std::vector<const GatewayServer *> ServerFleet::all() const
{
    std::vector<const GatewayServer *> servers;
    servers.reserve(this->records.size());
    for (const auto &[id, record] : this->records)
        servers.push_back(&record.server);
    return servers;
}

void ServerFleet::decayCounts(Record &record, TimePoint now) const
{
    const double halfLives =
            toSeconds(now - record.decayedAt) / toSeconds(this->times.trustHalfLife);
    const double remainingFraction = std::exp2(-std::max(0.0, halfLives));
    record.failures *= remainingFraction;
    record.answers *= remainingFraction;
    record.decayedAt = now;
}

bool ServerFleet::isSchedulable(const Record &record, TimePoint now) const
{
    if (record.server.draining || record.announcedLeaving)
        return false;
    return !record.expiresAt || *record.expiresAt > now;
}

} // namespace dotterel
