// What ForwardController finds out about requests that crash the servers on which they run.

#include "gateway/forward_controller.h"
#include "transport/body_framing.h"

namespace dotterel {

namespace {

/// A server that crashes as it begins to respond may have sent its first events, but none later
/// than this after the first one.
constexpr Duration MaxBeginningTime = std::chrono::milliseconds(250);
constexpr Duration MinSettlingInterval = std::chrono::milliseconds(50);
/// An attempt that is given up after this time without bytes may be at a server that has crashed
/// without its connections showing it.
constexpr Duration MinDoubtfulSilence = std::chrono::milliseconds(500);
/// A server does not go on longer than this with a run that was given up.
constexpr Duration MaxRunOutTime = std::chrono::seconds(1);

} // namespace

const std::string &ForwardController::requestFingerprint(ForwardCall &call)
{
    if (call.fingerprint.empty()) {
        std::string content = call.head.target;
        content += '\n';
        if (call.body)
            content += *call.body;
        call.fingerprint = CrashGuard::fingerprint(call.workspace, content);
    }
    return call.fingerprint;
}

std::string ForwardController::refusedSuspect(ForwardCall &call, TimePoint now)
{
    const auto isRequestRefused = [this, &call, now] {
        return !this->crashGuard.empty()
               && this->crashGuard.shouldRefuse(this->requestFingerprint(call), now);
    };
    const bool isAnyRefused =
            isRequestRefused()
            || (!this->partGuard.empty()
                && this->partGuard.findRefused(this->promptPartKeys(call), now) != nullptr);
    if (isAnyRefused)
        this->takeBackCrashes();
    if (isRequestRefused())
        return call.fingerprint;
    return this->partGuard.empty() ? std::string()
                                   : this->partGuard.refusedKey(this->promptPartKeys(call), now);
}

void ForwardController::probeCrashedServers(const std::string &suspect, TimePoint now)
{
    std::vector<ServerId> servers = this->crashGuard.crashedServers(suspect);
    const std::vector<ServerId> byPart = this->partGuard.crashedServers(suspect);
    servers.insert(servers.end(), byPart.begin(), byPart.end());
    for (const ServerId &id : servers) {
        const GatewayServer *server = this->fleet.find(id);
        if (server != nullptr && this->suspectProbes.tryProbe(id, now))
            this->effects.probeServer(*server);
    }
}

void ForwardController::onServerAlive(const ServerId &server, std::uint64_t incarnation,
                                      TimePoint now)
{
    const GatewayServer *known = this->fleet.find(server);
    // A server that has restarted meanwhile says nothing about the one before.
    if (known == nullptr || known->incarnation != incarnation)
        return;
    this->suspectProbes.onAlive(server);
    this->fleet.onSignOfLife(server, now);
}

void ForwardController::takeBackCrashes()
{
    const auto livedOn = [this](const ServerId &server, TimePoint crashedAt) {
        return this->fleet.livedOn(server, crashedAt);
    };
    this->crashGuard.takeBackCrashes(livedOn);
    this->partGuard.takeBackCrashes(livedOn);
}

void ForwardController::reportCrash(ForwardCall &call, const ServerId &server,
                                    std::string_view outcome, TimePoint now)
{
    this->effects.publishCrashNotice(
            this->crashGuard.onServerCrashed(this->requestFingerprint(call), server, now,
                                             {call.metadata.requestId, std::string(outcome)}));
}

const std::vector<std::string> &ForwardController::promptPartKeys(ForwardCall &call)
{
    if (call.partKeys.empty() && !call.metadata.sharedPromptParts.empty())
        call.partKeys = PromptPartGuard::keys(call.workspace, call.route->name,
                                              call.metadata.sharedPromptParts);
    return call.partKeys;
}

void ForwardController::publishNotices(const std::vector<CrashNotice> &notices)
{
    for (const CrashNotice &notice : notices)
        this->effects.publishCrashNotice(notice);
}

void ForwardController::accuseParts(ForwardCall &call, std::string_view outcome, TimePoint now)
{
    const ForwardAttempt &attempt = *call.attempt;
    const bool isRunning =
            attempt.firstEventReceived && now - attempt.firstEventAt > MaxBeginningTime;
    if (isRunning || call.metadata.sharedPromptParts.empty())
        return;
    const bool isBeginning = attempt.status != 0 && !attempt.firstEventReceived;
    this->publishNotices(
            this->partGuard.onServerCrashed(this->promptPartKeys(call), isBeginning, attempt.server,
                                            now, {call.metadata.requestId, std::string(outcome)}));
}

void ForwardController::recordSoundParts(ForwardCall &call, TimePoint now)
{
    if (call.attempt->provedSound || call.metadata.sharedPromptParts.empty())
        return;
    call.attempt->provedSound = true;
    this->publishNotices(this->partGuard.onSoundResponse(
            this->promptPartKeys(call), now, {call.metadata.requestId, "sound response"}));
}

void ForwardController::withdrawRefusedPrompts(TimePoint now)
{
    if (this->partGuard.empty())
        return;
    this->takeBackCrashes();
    std::vector<std::pair<HttpCallId, std::string>> refused;
    for (auto &[id, call] : this->calls) {
        const bool isWaiting =
                call.attempt && call.attempt->isPrompt && !call.attempt->firstEventReceived;
        const std::string *key =
                isWaiting ? this->partGuard.findRefused(this->promptPartKeys(call), now) : nullptr;
        if (key != nullptr)
            refused.emplace_back(id, *key);
    }
    for (const auto &[id, key] : refused) {
        ForwardCall &call = this->calls.at(id);
        this->abandonAttempt(call, now);
        this->refuse(call, Reason::CrashesBackendServers, std::nullopt, now, key);
    }
}

bool ForwardController::onCrashNotice(const CrashNotice &notice, TimePoint now)
{
    if (notice.subject == CrashSubject::Request)
        return this->crashGuard.onNotice(notice, now);
    const PromptPartGuard::NoticeResult result = this->partGuard.onNotice(notice, now);
    if (result.reminder)
        this->effects.publishCrashNotice(*result.reminder);
    if (result.isNews)
        this->withdrawRefusedPrompts(now);
    return result.isNews;
}

void ForwardController::recordSuccess(ForwardCall &call, TimePoint now)
{
    const bool endMayBeCrash =
            bodyFraming(call.attempt->status, call.attempt->headers) == BodyFraming::Connection;
    if (call.attempt->firstEventReceived && !endMayBeCrash)
        this->recordSoundParts(call, now);
    if (endMayBeCrash)
        return this->doubtEnd(call, DoubtfulEndKind::EndedInOrder, now, now);
    if (!this->doubtfulEnds.empty())
        this->doubtfulEnds.dismiss(this->requestFingerprint(call));
    if (!this->crashGuard.empty())
        this->clearSuspect(this->requestFingerprint(call), {call.metadata.requestId, "success"},
                           now);
}

void ForwardController::clearSuspect(const std::string &fingerprint, const CrashContext &context,
                                     TimePoint now)
{
    if (this->crashGuard.crashCount(fingerprint, now) > 0)
        this->effects.publishCrashNotice(this->crashGuard.onFinished(fingerprint, now, context));
}

void ForwardController::doubtEnd(ForwardCall &call, DoubtfulEndKind kind, TimePoint since,
                                 TimePoint now)
{
    DoubtfulEnd end;
    end.kind = kind;
    end.request = call.metadata.requestId;
    end.fingerprint = this->requestFingerprint(call);
    if (!call.attempt->firstEventReceived)
        end.partKeys = this->promptPartKeys(call);
    end.hasBegun = call.attempt->status != 0;
    end.server = call.attempt->server;
    end.since = since;
    end.endedAt = now;
    const bool wasGivenUp = kind == DoubtfulEndKind::Silence || kind == DoubtfulEndKind::GivenUp;
    if (wasGivenUp && call.deadline > now)
        end.runOutTime = std::min({call.route->latencyGoal, call.deadline - now, MaxRunOutTime});
    this->metrics.count(Counter::CrashDoubts, 1);
    this->log.write(Event::CrashDoubted,
                    {{"request", end.request},
                     {"server", end.server},
                     {"cause", std::string(doubtfulEndName(kind))},
                     {"ran_ms", (now - call.attempt->sentAt).count() / 1'000}});
    this->doubtfulEnds.add(std::move(end));
}

void ForwardController::doubtGivenUp(ForwardCall &call, TimePoint now)
{
    if (!call.attempt || call.attempt->isRelayed() || call.readingPaused)
        return;
    const ForwardAttempt &attempt = *call.attempt;
    if (now - attempt.lastDataAt >= MinDoubtfulSilence)
        return this->doubtEnd(call, DoubtfulEndKind::Silence, attempt.lastDataAt, now);
    const bool isStream = call.route->kind == RouteKind::Stream;
    const bool hasRun = attempt.firstEventReceived ? now - attempt.firstEventAt > MaxBeginningTime
                                                   : attempt.status != 0 && !isStream;
    if (!hasRun)
        this->doubtEnd(call, DoubtfulEndKind::GivenUp, attempt.sentAt, now);
}

void ForwardController::onServersChanged(TimePoint now)
{
    this->settleDoubtfulEnds(now);
}

void ForwardController::settleDoubtfulEnds(TimePoint now)
{
    this->nextSettling = now + MinSettlingInterval;
    if (this->doubtfulEnds.empty())
        return;
    const auto tracesOf = [this](const ServerId &server) {
        return ServerTraces{this->fleet.lastSignOfLife(server), this->fleet.disappearedAt(server)};
    };
    for (const auto &[end, crashed, crashedAt] : this->doubtfulEnds.settle(tracesOf, now)) {
        const CrashContext context{end.request, std::string(doubtfulEndName(end.kind)),
                                   now - std::min(crashedAt, now)};
        this->log.write(Event::CrashDoubtSettled,
                        {{"request", end.request},
                         {"server", end.server},
                         {"cause", context.cause},
                         {"crashed", static_cast<std::int64_t>(crashed)},
                         {"after_ms", (now - end.endedAt).count() / 1'000}});
        if (crashed) {
            this->metrics.count(Counter::CrashDoubtsConfirmed, 1);
            this->effects.publishCrashNotice(
                    this->crashGuard.onServerCrashed(end.fingerprint, end.server, now, context));
            this->publishNotices(this->partGuard.onServerCrashed(end.partKeys, end.hasBegun,
                                                                 end.server, now, context));
        } else if (end.kind == DoubtfulEndKind::EndedInOrder)
            this->clearSuspect(end.fingerprint, context, now);
    }
}

} // namespace dotterel
