// The part of RequestController that places attempts and watches them.
#include "coordination/request_controller.h"
#include "coordination/request_failures.h"

#include <algorithm>

namespace dotterel {

namespace {

/// From here on a suspect runs on a server with no other suspect of as many crashes.
constexpr std::size_t CrashesToIsolate = 2;

} // namespace

void RequestController::dispatch(RequestEntry &entry, TimePoint now)
{
    if (now >= entry.deadline) {
        this->refuse(entry, deadlineFailure(entry.verdict), now);
        return;
    }
    const PlacementResult choice = this->choose(entry, now);
    if (choice) {
        this->start(entry, *choice, now);
        return;
    }
    const bool othersRunThere = choice.error().reason == Reason::NoBackendServer
                                && this->crashesOf(entry, now) > 0
                                && !this->directory.usable(entry.request.pool, now).empty();
    if (othersRunThere) {
        entry.phase = RequestPhase::Waiting;
        this->arm(entry, this->nextLook(entry, now));
        return;
    }
    Failure failure = choice.error();
    failure.verdict = std::max(failure.verdict, entry.verdict);
    this->refuse(entry, failure, now);
}

RequestController::PlacementResult RequestController::choose(RequestEntry &entry, TimePoint now)
{
    const std::size_t crashes = this->crashesOf(entry, now);
    if (crashes > 0)
        return this->chooseForSuspect(entry, crashes, now);
    PlacementResult choice = this->placement.choose(entry.query(), now);
    const bool allFailed =
            !choice && choice.error().reason == Reason::NoBackendServer && !entry.excluded.empty();
    if (!allFailed)
        return choice;
    // Every server failed the request once; those that still answer get another try.
    entry.excluded.clear();
    return this->placement.choose(entry.query(), now);
}

RequestController::PlacementResult
RequestController::chooseForSuspect(RequestEntry &entry, std::size_t crashes, TimePoint now)
{
    // Suspects run apart, so that an innocent one ends well and is cleared.
    const auto chooseBeside = [this, &entry, now](std::size_t allowedCrashes) {
        PlacementQuery query = entry.query();
        const std::vector<ServerId> others =
                this->crashGuard.serversWithSuspects(entry.fingerprint, allowedCrashes + 1, now);
        query.excluded.insert(query.excluded.end(), others.begin(), others.end());
        return this->placement.choose(query, now);
    };
    PlacementResult choice = chooseBeside(0);
    if (choice || choice.error().reason != Reason::NoBackendServer)
        return choice;
    entry.excluded.clear();
    return chooseBeside(crashes < CrashesToIsolate ? CrashesToIsolate - 1 : 0);
}

void RequestController::start(RequestEntry &entry, const PlacementChoice &choice, TimePoint now)
{
    if (entry.attempts == 0)
        this->retryBudget.onFirstTry(entry.work());
    ++entry.attempts;
    entry.phase = RequestPhase::Running;
    entry.attempt = entry.request.id + "." + std::to_string(entry.attempts);
    entry.server = choice.server;
    entry.heard = false;
    entry.lastToken = now;
    entry.patience = this->firstPatience(entry, choice, now);
    this->attempts[entry.attempt] = entry.request.id;
    this->placement.onDispatched(entry.attempt, entry.query(), choice, now);
    this->log.write(Event::AttemptStarted, {{"attempt", entry.attempt}, {"server", entry.server}});
    if (this->crashesOf(entry, now) > 0)
        this->effects.announceCrash(
                this->crashGuard.onServerChanged(entry.fingerprint, entry.server, now));
    this->arm(entry, this->nextLook(entry, now));
    AttemptOrder order;
    order.attempt = entry.attempt;
    order.kind = entry.kind;
    order.server = *this->directory.find(choice.server);
    for (const ServerId &other : choice.others)
        order.others.push_back(*this->directory.find(other));
    order.priority = choice.priority;
    order.resumeAt = entry.nextIndex;
    order.deadline = entry.deadline;
    order.request = &entry.request;
    const bool paused = entry.blockedSince.has_value();
    this->effects.sendAttempt(order);
    if (paused)
        this->effects.pauseAttempt(order.attempt, true);
}

void RequestController::endAttempt(RequestEntry &entry, TimePoint now)
{
    if (!entry.fingerprint.empty() && this->crashGuard.crashCount(entry.fingerprint, now) > 0)
        this->effects.announceCrash(this->crashGuard.onServerChanged(entry.fingerprint, "", now));
    this->placement.onEnded(entry.attempt, now);
    this->attempts.erase(entry.attempt);
    entry.attempt.clear();
}

} // namespace dotterel
