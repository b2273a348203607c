// The part of ServerFleet that learns from attempts and reports which servers work.

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
constexpr int MaxSuspicionDoublings = 4;

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    return enumName(AttemptOutcomeNames, outcome);
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

void ServerFleet::decayCounts(Record &record, TimePoint now) const
{
    const double halfLives =
            toSeconds(now - record.decayedAt) / toSeconds(this->timings.failureRateHalfLife);
    const double remainingFraction = std::exp2(-std::max(0.0, halfLives));
    record.failures *= remainingFraction;
    record.answers *= remainingFraction;
    record.decayedAt = now;
}

} // namespace dotterel
