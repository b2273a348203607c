// Attempts of RequestController: placement, start and end.
#include "coordination/request_controller.h"
#include "coordination/request_failures.h"

#include <algorithm>

namespace dotterel {

namespace {

/// A crash suspect with at least this many crashes does not share a server with any other suspect;
/// one with fewer does not share it with a suspect that has this many.
constexpr std::size_t IsolationCrashCount = 2;

} // namespace

void RequestController::dispatch(RequestEntry &entry, TimePoint now)
{
    if (now >= entry.deadline) {
        this->refuse(entry, deadlineFailure(entry.verdict), now);
        return;
    }
    const PlacementResult choice = this->choose(entry, now);
    if (choice) {
        this->startAttempt(entry, *choice, now);
        return;
    }
    const bool blockedBySuspects =
            choice.error().reason == Reason::NoBackendServer && this->crashCount(entry, now) > 0
            && !this->directory.usableServers(entry.request.pool, now).empty();
    if (blockedBySuspects) {
        entry.phase = RequestPhase::WaitingForServer;
        this->setTimer(entry, this->nextTimerTime(entry, now));
        return;
    }
    Failure failure = choice.error();
    failure.verdict = std::max(failure.verdict, entry.verdict);
    this->refuse(entry, failure, now);
}

RequestController::PlacementResult RequestController::choose(RequestEntry &entry, TimePoint now)
{
    const std::size_t crashes = this->crashCount(entry, now);
    if (crashes > 0)
        return this->chooseForSuspect(entry, crashes, now);
    PlacementResult choice = this->placement.choose(entry.query(), now);
    const bool failedOnAllServers =
            !choice && choice.error().reason == Reason::NoBackendServer && !entry.excluded.empty();
    if (!failedOnAllServers)
        return choice;
    // The request failed on every server once, so servers that still respond are tried again.
    entry.excluded.clear();
    return this->placement.choose(entry.query(), now);
}

RequestController::PlacementResult
RequestController::chooseForSuspect(RequestEntry &entry, std::size_t crashes, TimePoint now)
{
    // Suspects run on separate servers, so that a harmless one completes and is cleared.
    const auto chooseWithoutSuspects = [this, &entry, now](std::size_t maxSharedCrashes) {
        PlacementQuery query = entry.query();
        const std::vector<ServerId> others =
                this->crashGuard.serversWithSuspects(entry.fingerprint, maxSharedCrashes + 1, now);
        query.excluded.insert(query.excluded.end(), others.begin(), others.end());
        return this->placement.choose(query, now);
    };
    PlacementResult choice = chooseWithoutSuspects(0);
    if (choice || choice.error().reason != Reason::NoBackendServer)
        return choice;
    entry.excluded.clear();
    return chooseWithoutSuspects(crashes < IsolationCrashCount ? IsolationCrashCount - 1 : 0);
}

void RequestController::startAttempt(RequestEntry &entry, const PlacementChoice &choice,
                                     TimePoint now)
{
    if (entry.attempts == 0)
        this->retryBudget.onFirstAttempt(entry.retryCost());
    ++entry.attempts;
    entry.phase = RequestPhase::Running;
    entry.attempt = entry.request.id + "." + std::to_string(entry.attempts);
    entry.server = choice.server;
    entry.receivedToken = false;
    entry.lastActivity = now;
    entry.silenceTimeout = this->firstTokenTimeout(entry, choice, now);
    this->attempts[entry.attempt] = entry.request.id;
    this->placement.onDispatched(entry.attempt, entry.query(), choice, now);
    this->log.write(Event::AttemptStarted, {{"attempt", entry.attempt}, {"server", entry.server}});
    if (this->crashCount(entry, now) > 0)
        this->effects.broadcastCrashNotice(
                this->crashGuard.onServerChanged(entry.fingerprint, entry.server, now));
    this->setTimer(entry, this->nextTimerTime(entry, now));
    AttemptRequest outgoing;
    outgoing.attempt = entry.attempt;
    outgoing.kind = entry.kind;
    outgoing.server = *this->directory.find(choice.server);
    for (const ServerId &other : choice.additionalServers)
        outgoing.additionalServers.push_back(*this->directory.find(other));
    outgoing.priority = choice.priority;
    outgoing.resumeAt = entry.nextIndex;
    outgoing.deadline = entry.deadline;
    outgoing.request = &entry.request;
    const bool paused = entry.blockedSince.has_value();
    this->effects.sendAttempt(outgoing);
    if (paused)
        this->effects.pauseAttempt(outgoing.attempt, true);
}

void RequestController::endAttempt(RequestEntry &entry, TimePoint now)
{
    if (!entry.fingerprint.empty() && this->crashGuard.crashCount(entry.fingerprint, now) > 0)
        this->effects.broadcastCrashNotice(
                this->crashGuard.onServerChanged(entry.fingerprint, "", now));
    this->placement.onEnded(entry.attempt, now);
    this->attempts.erase(entry.attempt);
    entry.attempt.clear();
}

} // namespace dotterel
