#include "gateway/server_fleet.h"

#include "core/enum_names.h"
#include "core/hashing.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace dotterel {

namespace {

constexpr std::array<EnumName<AttemptOutcome>, 6> AttemptOutcomeNames = {{
        {AttemptOutcome::Answered, "answered"},
        {AttemptOutcome::Failed, "failed"},
        {AttemptOutcome::Refused, "refused"},
        {AttemptOutcome::Unreachable, "unreachable"},
        {AttemptOutcome::Silent, "silent"},
        {AttemptOutcome::Leaving, "leaving"},
}};

/// Prior counts of the failure rate, so that a single failure of a server without answers does not
/// result in a high rate.
constexpr double PriorAnswers = 3.0;
constexpr double PriorFailures = 0.05;
/// Weight of a refusal as a failure: it says little about the next attempt.
constexpr double RefusalWeight = 0.5;
/// The removal of a single server says nothing about the store.
constexpr std::size_t MinRemovedTogether = 2;
constexpr int MaxSuspicionDoublings = 4;
constexpr double HashRange = 18446744073709551616.0; // 2^64

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    return enumName(AttemptOutcomeNames, outcome);
}

ServerFleet::ServerFleet(const ServerFleetTimings &timings, EventLog &log, std::uint32_t hostHash)
    : timings(timings)
    , log(log)
    , serverLimits(ServerLimitSettings{}, hostHash, log)
    , warmUps(log)
    , serverPace(timings.pace, log, hostHash)
{}

bool ServerFleet::put(const GatewayServer &server, TimePoint now)
{
    const auto found = this->records.find(server.id);
    if (found != this->records.end() && found->second.server.incarnation == server.incarnation) {
        Record &record = found->second;
        const bool wasDraining = record.server.draining;
        if (!wasDraining && server.draining)
            this->log.write(Event::ServerDraining, {{"server", server.id}, {"source", "entry"}});
        record.server = server;
        record.server.draining = server.draining || wasDraining;
        // The entry may have expired and be written again; the recorded health still applies.
        record.expiresAt.reset();
        record.removedAt.reset();
        if (this->warmUps.onEntry(server, false, now))
            this->applyWarmUp(server, now);
        return false;
    }
    const bool restarted = found != this->records.end();
    if (restarted)
        this->recordDisappearance(found->second, now);
    this->serverLimits.forget(server.id);
    this->warmUps.forget(server.id);
    const bool hasStarted = this->hasStartedNow(server, now);
    Record record;
    record.server = server;
    record.rank = static_cast<double>(hash64(server.id)) / HashRange;
    record.decayedAt = now;
    record.knownSince = now;
    const auto departure = this->departures.find(server.id);
    const bool departed = departure != this->departures.end()
                          && departure->second.incarnation == server.incarnation;
    record.announcedLeaving = departed && departure->second.wasLeaving;
    if (departed && departure->second.doubtedUntil)
        record.suspectedUntil = *departure->second.doubtedUntil;
    this->records[server.id] = record;
    if (this->warmUps.onEntry(server, hasStarted, now))
        this->applyWarmUp(server, now);
    if (hasStarted)
        this->serverPace.start(server.id, server.slots, PaceReason::Started, now);
    this->log.write(Event::ServerUp, {{"server", server.id},
                                      {"pool", server.pool},
                                      {"endpoint", server.endpoint.text()},
                                      {"restarted", restarted},
                                      {"departed_before", record.announcedLeaving}});
    return restarted;
}

void ServerFleet::doubtIfDeparted(const GatewayServer &server, TimePoint now)
{
    const auto departure = this->departures.find(server.id);
    if (departure == this->departures.end() || departure->second.incarnation != server.incarnation)
        return;
    departure->second.doubtedUntil = now + this->timings.restoredEntryDoubt;
    const auto found = this->records.find(server.id);
    if (found != this->records.end() && found->second.removedAt)
        found->second.suspectedUntil = *departure->second.doubtedUntil;
}

void ServerFleet::remove(const ServerId &server, bool mayHaveExpired, TimePoint now)
{
    this->removeExpired(now);
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.removedAt)
        return;
    Record &record = found->second;
    const bool leaving = record.server.draining || record.announcedLeaving;
    const bool mayReturn = mayHaveExpired && !leaving;
    this->log.write(Event::ServerDown,
                    {{"server", server}, {"source", "entry"}, {"may_have_lapsed", mayReturn}});
    this->forgetDepartures(now);
    this->departures[server] = {record.server.incarnation, leaving, now, std::nullopt};
    if (!mayHaveExpired)
        this->recordDisappearance(record, now);
    if (leaving) {
        this->serverLimits.forget(server);
        this->warmUps.forget(server);
        this->serverPace.forget(server);
        this->records.erase(found);
        return;
    }
    record.removedAt = now;
    record.expiresAt = mayReturn ? now + this->timings.expiredEntryGrace : now;
    this->graceIfMostRemoved(record.server.pool, now);
}

void ServerFleet::removeExpired(TimePoint now)
{
    for (auto record = this->records.begin(); record != this->records.end();) {
        const std::optional<TimePoint> removedAt = record->second.removedAt;
        const bool isGone = removedAt && now - *removedAt > this->timings.expiredEntryGrace;
        if (isGone) {
            this->serverLimits.forget(record->first);
            this->warmUps.forget(record->first);
            this->serverPace.forget(record->first);
        }
        record = isGone ? this->records.erase(record) : std::next(record);
    }
}

void ServerFleet::forgetDepartures(TimePoint now)
{
    for (auto departure = this->departures.begin(); departure != this->departures.end();) {
        const bool isOld = now - departure->second.removedAt > this->timings.departureMemory;
        departure = isOld ? this->departures.erase(departure) : std::next(departure);
    }
    for (auto *times : {&this->disappearances, &this->refusedConnections}) {
        for (auto gone = times->begin(); gone != times->end();) {
            const bool isOld = now - gone->second > this->timings.departureMemory;
            gone = isOld ? times->erase(gone) : std::next(gone);
        }
    }
}

bool ServerFleet::isLeaving(const Record &record)
{
    return record.server.draining || record.announcedLeaving || record.removedAt;
}

void ServerFleet::recordDisappearance(const Record &record, TimePoint now)
{
    if (!this->isLeaving(record))
        this->disappearances[record.server.id] = now;
}

bool ServerFleet::onConnectionRefused(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || this->isLeaving(found->second))
        return false;
    this->refusedConnections[server] = now;
    const bool isNews = this->warmUps.onConnectionRefused(found->second.server,
                                                          this->timings.maxSuspicion, now);
    if (isNews)
        this->applyWarmUp(found->second.server, now);
    return isNews;
}

std::optional<TimePoint> ServerFleet::disappearedAt(const ServerId &server) const
{
    std::optional<TimePoint> latest;
    for (const auto *times : {&this->disappearances, &this->refusedConnections}) {
        const auto found = times->find(server);
        if (found != times->end())
            latest = std::max(latest.value_or(found->second), found->second);
    }
    return latest;
}

void ServerFleet::graceIfMostRemoved(const std::string &pool, TimePoint now)
{
    std::vector<Record *> removed;
    std::size_t registered = 0;
    for (auto &[id, record] : this->records) {
        if (record.server.pool != pool || record.server.draining || record.announcedLeaving)
            continue;
        if (!record.removedAt)
            ++registered;
        else if (now - *record.removedAt < this->timings.removalMergeWindow)
            removed.push_back(&record);
    }
    const auto total = static_cast<double>(registered + removed.size());
    if (removed.size() < MinRemovedTogether
        || static_cast<double>(removed.size()) <= total * this->timings.maxRemovedFraction)
        return;
    for (Record *record : removed)
        record->expiresAt = *record->removedAt + this->timings.expiredEntryGrace;
}

void ServerFleet::onAttemptOutcome(const ServerId &server, AttemptOutcome outcome, TimePoint now,
                                   std::optional<TimePoint> sentAt)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || !this->concernsIncarnation(found->second, outcome, sentAt))
        return;
    Record &record = found->second;
    this->updatePace(record, outcome, now);
    this->decayCounts(record, now);
    switch (outcome) {
    case AttemptOutcome::Answered:
        record.answers += 1;
        record.lastAnswer = now;
        record.suspicions = 0;
        record.suspectedUntil = TimePoint();
        break;
    case AttemptOutcome::Failed:
        record.failures += 1;
        break;
    case AttemptOutcome::Refused:
        record.failures += RefusalWeight;
        record.suspicions = 0;
        break;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Silent:
        record.failures += 1;
        this->suspectServer(record, outcome, now);
        break;
    case AttemptOutcome::Leaving:
        this->recordDisappearance(record, now);
        this->onLeavingAnnounced(server, now);
        break;
    }
}

bool ServerFleet::onLeavingAnnounced(const ServerId &server, TimePoint /*now*/)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.announcedLeaving)
        return false;
    found->second.announcedLeaving = true;
    this->log.write(Event::ServerDraining, {{"server", server}, {"source", "answer"}});
    return true;
}

void ServerFleet::onPauseRequested(const ServerId &server, Duration pause, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return;
    Record &record = found->second;
    if (record.pausedUntil <= now)
        record.contactsInPause = 0;
    const Duration boundedPause = std::min(pause, this->timings.maxPause);
    record.pausedUntil = std::max(record.pausedUntil, now + boundedPause);
    this->log.write(Event::ServerPaused,
                    {{"server", server},
                     {"requested_ms", static_cast<std::int64_t>(pause.count() / 1'000)},
                     {"paused_ms", static_cast<std::int64_t>(boundedPause.count() / 1'000)}});
}

bool ServerFleet::tryContact(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.pausedUntil <= now)
        return true;
    return found->second.contactsInPause++ < this->timings.maxContactsInPause;
}

void ServerFleet::onSilenceReported(const ServerId &server, std::uint32_t senderHash, TimePoint now)
{
    std::map<ServerId, TimePoint> &reported = this->silenceReports[senderHash];
    for (auto report = reported.begin(); report != reported.end();)
        report = now - report->second > this->timings.reportWindow ? reported.erase(report)
                                                                   : std::next(report);
    if (reported.size() >= this->timings.maxReportedServers && reported.count(server) == 0)
        return;
    reported[server] = now;
    const auto found = this->records.find(server);
    const bool wasSuspected = found != this->records.end() && found->second.suspectedUntil > now;
    this->onAttemptOutcome(server, AttemptOutcome::Silent, now);
    if (found != this->records.end() && !wasSuspected)
        found->second.suspectedByReport = true;
}

void ServerFleet::onSilenceContradicted(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return;
    Record &record = found->second;
    // No sign of life: the other host may have received its last bytes just before a crash.
    record.lastContradiction = now;
    const bool isTakenBack =
            record.suspectedUntil > now && record.suspectedForSilence && record.suspectedByReport;
    if (!isTakenBack)
        return;
    record.suspectedUntil = TimePoint();
    record.suspicions = std::max(0, record.suspicions - 1);
    this->log.write(Event::ServerSuspicionLifted, {{"server", server}});
}

void ServerFleet::onSignOfLife(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return;
    found->second.lastAnswer = now;
    found->second.lastOwnSign = now;
}

std::optional<TimePoint> ServerFleet::lastOwnSign(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? std::nullopt : found->second.lastOwnSign;
}

std::optional<TimePoint> ServerFleet::lastSignOfLife(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? std::nullopt : found->second.lastAnswer;
}

bool ServerFleet::maySuspectForSilence(const Record &record, TimePoint now) const
{
    for (const auto &sign : {record.lastAnswer, record.lastContradiction}) {
        if (sign && now - *sign < this->timings.recentAnswerWindow)
            return false;
    }
    std::size_t schedulable = 0;
    std::size_t silent = 0;
    for (const auto &[id, other] : this->records) {
        if (other.server.pool != record.server.pool || !this->isSchedulable(other, now))
            continue;
        ++schedulable;
        if (&other != &record && other.suspectedForSilence && other.suspectedUntil > now)
            ++silent;
    }
    const double limit =
            std::ceil(static_cast<double>(schedulable) * this->timings.maxSilentFraction);
    return static_cast<double>(silent) < limit;
}

void ServerFleet::suspectServer(Record &record, AttemptOutcome outcome, TimePoint now)
{
    if (outcome == AttemptOutcome::Silent && !this->maySuspectForSilence(record, now))
        return;
    if (record.lastCountedFailure
        && now - *record.lastCountedFailure < this->timings.failureMergeWindow)
        return;
    record.lastCountedFailure = now;
    const int doublings = std::min(record.suspicions, MaxSuspicionDoublings);
    ++record.suspicions;
    const Duration suspicionTime =
            std::min(this->timings.maxSuspicion, this->timings.initialSuspicion * (1 << doublings));
    record.suspectedUntil = now + suspicionTime;
    record.suspectedForSilence = outcome == AttemptOutcome::Silent;
    record.suspectedByReport = false;
    this->log.write(Event::ServerDown,
                    {{"server", record.server.id},
                     {"source", std::string(attemptOutcomeName(outcome))},
                     {"suspected_ms", static_cast<std::int64_t>(suspicionTime.count() / 1'000)}});
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
    std::vector<const Record *> paced;
    bool hasSoundServer = false;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || !this->isSchedulable(record, now))
            continue;
        const bool isSuspected = record.suspectedUntil > now;
        hasSoundServer = hasSoundServer || !isSuspected;
        if (!this->serverLimits.mayReceive(id, now))
            continue;
        const bool isPaced = !isSuspected && !this->serverPace.admits(id, now);
        (isSuspected ? suspected : isPaced ? paced : chosen).push_back(&record);
    }
    if (chosen.empty())
        chosen = paced;
    if (!hasSoundServer)
        chosen = suspected;
    std::sort(chosen.begin(), chosen.end(),
              [](const Record *left, const Record *right) { return left->rank < right->rank; });
    std::vector<const GatewayServer *> servers;
    servers.reserve(chosen.size());
    for (const Record *record : chosen)
        servers.push_back(&record->server);
    return servers;
}

bool ServerFleet::isUsable(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    return found != this->records.end() && this->isSchedulable(found->second, now)
           && this->serverLimits.mayReceive(server, now);
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

void ServerFleet::decayCounts(Record &record, TimePoint now) const
{
    const double halfLives =
            toSeconds(now - record.decayedAt) / toSeconds(this->timings.failureRateHalfLife);
    const double remainingFraction = std::exp2(-std::max(0.0, halfLives));
    record.failures *= remainingFraction;
    record.answers *= remainingFraction;
    record.decayedAt = now;
}

bool ServerFleet::isSchedulable(const Record &record, TimePoint now) const
{
    return record.pausedUntil <= now && !this->isLeavingOrGone(record, now)
           && !this->isOutOfService(record.server);
}

bool ServerFleet::isLeavingOrGone(const Record &record, TimePoint now) const
{
    return record.server.draining || record.announcedLeaving
           || (record.expiresAt && *record.expiresAt <= now);
}

} // namespace dotterel
