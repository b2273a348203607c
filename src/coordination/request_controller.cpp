#include "coordination/request_controller.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration RetryAfterOverload = std::chrono::seconds(1);
constexpr Duration RetryAfterShutdown = std::chrono::seconds(1);
constexpr Duration RetryAfterFailure = std::chrono::seconds(2);

OrderClaim claimOf(const Request &request, TimePoint deadline)
{
    return {request.id, request.workspace, request.idempotencyKey,
            hash128Hex(request.method + '\n' + request.target + '\n' + *request.body), deadline};
}

RetryReason retryReasonOf(const AttemptFailure &failure)
{
    switch (failure.failure.reason) {
    case Reason::BackendConnectFailed:
        return RetryReason::ConnectFailed;
    case Reason::BackendRefused:
        return RetryReason::Refused;
    case Reason::AnswerCut:
        return RetryReason::AnswerCut;
    default:
        return RetryReason::ServerFailed;
    }
}

Failure claimFailure(ClaimResult result)
{
    switch (result) {
    case ClaimResult::InProgress:
        return {Verdict::MayHaveRun, Reason::OrderInProgress, "the order is being run",
                RetryAfterFailure};
    case ClaimResult::OutcomeUnknown:
        return {Verdict::MayHaveRun, Reason::OrderOutcomeUnknown,
                "the order was started and its outcome is not known", std::nullopt};
    case ClaimResult::BodyMismatch:
        return {Verdict::NotRun, Reason::KeyReusedWithOtherBody,
                "the Idempotency-Key was used for another order", std::nullopt};
    default:
        return {Verdict::NotRun, Reason::PlatformUnavailable,
                "the order could not be claimed and was not sent", RetryAfterFailure};
    }
}

} // namespace

RequestController::RequestController(const RequestLimits &limits, BackendDirectory &directory,
                                     Placement &placement, RequestEffects &effects,
                                     Metrics &metrics, EventLog &log)
    : limits(limits)
    , directory(directory)
    , placement(placement)
    , effects(effects)
    , metrics(metrics)
    , log(log)
{}

void RequestController::applyConfiguration(const Configuration &newConfiguration)
{
    this->configuration = newConfiguration;
}

void RequestController::beginShutdown()
{
    this->shuttingDown = true;
}

void RequestController::submit(const Request &request, TimePoint now)
{
    const std::optional<Failure> failure = this->check(request);
    Entry entry;
    entry.request = request;
    entry.arrival = now;
    if (failure) {
        this->refuse(entry, *failure, now);
        return;
    }
    const RequestClass &requestClass = this->configuration.requestClasses.at(request.requestClass);
    entry.kind = this->configuration.pools.at(request.pool).kind;
    entry.idempotent = requestClass.idempotent;
    entry.deadline = now + requestClass.deadline;
    this->metrics.count(Counter::RequestsAdmitted, 1);
    this->deadlines.emplace(entry.deadline, request.id);
    Entry &stored = this->requests.emplace(request.id, std::move(entry)).first->second;
    this->metrics.set(Gauge::RequestsInFlight, static_cast<double>(this->requests.size()));
    if (stored.idempotent) {
        this->dispatch(stored, now);
        return;
    }
    stored.phase = Phase::Claiming;
    this->effects.claimOrder(claimOf(stored.request, stored.deadline));
}

void RequestController::onClaimSettled(const RequestId &request, const ClaimOutcome &outcome,
                                       TimePoint now)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    Entry &entry = found->second;
    if (entry.phase != Phase::Claiming)
        return;
    switch (outcome.result) {
    case ClaimResult::Claimed:
        entry.phase = Phase::Running;
        this->metrics.count(Counter::OrdersClaimed, 1);
        this->log.write(Event::OrderClaimed, {{"request", request}});
        this->dispatch(entry, now);
        return;
    case ClaimResult::AlreadyFinished:
        this->effects.deliverServiceAnswer(request, outcome.answer);
        this->erase(entry);
        return;
    default:
        this->log.write(Event::OrderClaimFailed, {{"request", request}});
        this->refuse(entry, claimFailure(outcome.result), now);
        return;
    }
}

void RequestController::onToken(const AttemptId &attempt, const AnswerToken &token, TimePoint now)
{
    Entry *entry = this->entryOf(attempt);
    if (entry == nullptr)
        return;
    if (token.attempt != attempt || token.index < entry->nextIndex) {
        this->metrics.count(Counter::ForeignBytesDropped, token.text.size());
        this->log.write(Event::ForeignBytesDropped, {{"attempt", attempt}});
        return;
    }
    if (token.index > entry->nextIndex) {
        // A token is missing, so the rest of this stream cannot be used.
        this->effects.cancelAttempt(attempt);
        this->onAttemptFailed(attempt,
                              {{Verdict::MayHaveRun, Reason::AnswerCut,
                                "a token of the answer is missing", RetryAfterFailure},
                               ServerFault::None},
                              now);
        return;
    }
    if (entry->nextIndex == 0) {
        this->placement.onFirstToken(attempt, now);
        this->metrics.observeFirstToken(lengthBand(entry->request.promptTokens),
                                        now - entry->arrival);
        this->directory.markUp(entry->server);
    }
    ++entry->nextIndex;
    this->effects.deliverText(entry->request.id, token.text);
}

void RequestController::onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end, TimePoint now)
{
    Entry *entry = this->entryOf(attempt);
    if (entry == nullptr)
        return;
    if (end.attempt != attempt) {
        this->metrics.count(Counter::ForeignBytesDropped, 1);
        this->log.write(Event::ForeignBytesDropped, {{"attempt", attempt}});
        return;
    }
    if (end.count != entry->nextIndex) {
        this->onAttemptFailed(attempt,
                              {{Verdict::MayHaveRun, Reason::AnswerCut,
                                "the answer ended before its last token", RetryAfterFailure},
                               ServerFault::None},
                              now);
        return;
    }
    this->endAttempt(*entry, now);
    this->metrics.count(Counter::RequestsFinished, 1);
    this->log.write(Event::RequestFinished, {{"request", entry->request.id}});
    this->effects.finishAnswer(entry->request.id, end.count);
    this->erase(*entry);
}

void RequestController::onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer,
                                        TimePoint now)
{
    Entry *entry = this->entryOf(attempt);
    if (entry == nullptr)
        return;
    this->directory.markUp(entry->server);
    this->endAttempt(*entry, now);
    if (!entry->idempotent)
        this->effects.recordOrderAnswer(claimOf(entry->request, entry->deadline), answer);
    this->metrics.count(Counter::RequestsFinished, 1);
    this->log.write(Event::RequestFinished, {{"request", entry->request.id}});
    this->effects.deliverServiceAnswer(entry->request.id, answer);
    this->erase(*entry);
}

void RequestController::onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure,
                                        TimePoint now)
{
    Entry *entry = this->entryOf(attempt);
    if (entry == nullptr)
        return;
    this->log.write(Event::AttemptFailed,
                    {{"attempt", attempt},
                     {"server", entry->server},
                     {"reason", std::string(reasonInfo(failure.failure.reason).name)},
                     {"verdict", std::string(verdictName(failure.failure.verdict))}});
    if (failure.fault == ServerFault::Draining)
        this->directory.markDraining(entry->server);
    else if (failure.fault == ServerFault::Unreachable)
        this->directory.markDown(entry->server, now);
    entry->excluded.push_back(entry->server);
    entry->verdict = std::max(entry->verdict, failure.failure.verdict);
    this->endAttempt(*entry, now);
    this->retryOrRefuse(*entry, failure, now);
}

void RequestController::onCallerGone(const RequestId &request, TimePoint now)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    Entry &entry = found->second;
    this->log.write(Event::CallerLeft, {{"request", request}});
    // An order goes on, so that its answer is recorded for when the caller asks again.
    if (!entry.idempotent)
        return;
    this->refuse(
            entry,
            {entry.verdict, Reason::CallerGone, "the caller closed its connection", std::nullopt},
            now);
}

void RequestController::onTimer(TimePoint now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const RequestId request = this->deadlines.begin()->second;
        Entry &entry = this->requests.at(request);
        const bool running = !entry.attempt.empty();
        const Verdict verdict = running ? Verdict::MayHaveRun : entry.verdict;
        this->refuse(entry,
                     {verdict, Reason::DeadlineExceeded, "the deadline of the request class passed",
                      RetryAfterFailure},
                     now);
    }
}

std::optional<TimePoint> RequestController::nextTimer() const
{
    if (this->deadlines.empty())
        return std::nullopt;
    return this->deadlines.begin()->first;
}

std::optional<Failure> RequestController::check(const Request &request) const
{
    const auto notRun = [](Reason reason, std::string detail,
                           std::optional<Duration> retryAfter = std::nullopt) {
        return Failure{Verdict::NotRun, reason, std::move(detail), retryAfter};
    };
    if (this->shuttingDown)
        return notRun(Reason::ShuttingDown, "the entry host is shutting down", RetryAfterShutdown);
    if (this->configuration.version == 0)
        return notRun(Reason::NoConfiguration, "no configuration is in force yet",
                      RetryAfterFailure);
    if (this->configuration.workspaces.count(request.workspace) == 0)
        return notRun(Reason::UnknownWorkspace,
                      "there is no workspace \"" + request.workspace + "\"");
    const auto requestClass = this->configuration.requestClasses.find(request.requestClass);
    if (requestClass == this->configuration.requestClasses.end())
        return notRun(Reason::UnknownRequestClass,
                      "there is no request class \"" + request.requestClass + "\"");
    if (this->configuration.pools.count(request.pool) == 0)
        return notRun(Reason::UnknownPool, "there is no pool \"" + request.pool + "\"");
    if (!requestClass->second.idempotent && request.idempotencyKey.empty())
        return notRun(Reason::MissingIdempotencyKey,
                      "class \"" + request.requestClass
                              + "\" is not idempotent: send an Idempotency-Key header with a value "
                                "of your own that names the order");
    if (this->requests.size() >= this->limits.maxInFlight)
        return notRun(Reason::TooManyRequests, "too many requests are in flight on this host",
                      RetryAfterOverload);
    return std::nullopt;
}

void RequestController::dispatch(Entry &entry, TimePoint now)
{
    if (now >= entry.deadline) {
        this->refuse(entry,
                     {entry.verdict, Reason::DeadlineExceeded,
                      "the deadline of the request class passed", RetryAfterFailure},
                     now);
        return;
    }
    const PlacementQuery query = this->queryOf(entry);
    const tl::expected<PlacementChoice, Failure> choice = this->placement.choose(query, now);
    if (!choice) {
        Failure failure = choice.error();
        failure.verdict = std::max(failure.verdict, entry.verdict);
        this->refuse(entry, failure, now);
        return;
    }
    ++entry.attempts;
    entry.attempt = entry.request.id + "." + std::to_string(entry.attempts);
    entry.server = choice->server;
    this->attempts[entry.attempt] = entry.request.id;
    this->placement.onDispatched(entry.attempt, query, *choice, now);
    this->log.write(Event::AttemptStarted, {{"attempt", entry.attempt}, {"server", entry.server}});
    AttemptOrder order;
    order.attempt = entry.attempt;
    order.kind = entry.kind;
    order.server = *this->directory.find(choice->server);
    order.priority = choice->priority;
    order.resumeAt = entry.nextIndex;
    order.deadline = entry.deadline;
    order.request = &entry.request;
    this->effects.sendAttempt(order);
}

void RequestController::retryOrRefuse(Entry &entry, const AttemptFailure &failure, TimePoint now)
{
    const bool mayRunAgain = failure.failure.mayRunAgain(entry.idempotent);
    if (mayRunAgain && entry.attempts < this->limits.maxAttempts && now < entry.deadline) {
        this->metrics.countRetry(retryReasonOf(failure));
        this->dispatch(entry, now);
        return;
    }
    Failure final = failure.failure;
    final.verdict = entry.verdict;
    this->refuse(entry, final, now);
}

void RequestController::refuse(Entry &entry, Failure failure, TimePoint now)
{
    this->metrics.countRefusal(failure.reason);
    this->log.write(Event::RequestRefused,
                    {{"request", entry.request.id},
                     {"reason", std::string(reasonInfo(failure.reason).name)},
                     {"verdict", std::string(verdictName(failure.verdict))},
                     {"detail", failure.detail}});
    if (!entry.attempt.empty()) {
        const AttemptId attempt = entry.attempt;
        this->endAttempt(entry, now);
        this->effects.cancelAttempt(attempt);
    }
    const bool claimed = !entry.idempotent && entry.phase == Phase::Running;
    if (claimed && failure.verdict == Verdict::NotRun)
        this->effects.releaseOrder(claimOf(entry.request, entry.deadline));
    this->effects.refuse(entry.request.id, failure);
    this->erase(entry);
}

void RequestController::endAttempt(Entry &entry, TimePoint now)
{
    this->placement.onEnded(entry.attempt, now);
    this->attempts.erase(entry.attempt);
    entry.attempt.clear();
}

void RequestController::erase(const Entry &entry)
{
    const RequestId request = entry.request.id;
    const auto range = this->deadlines.equal_range(entry.deadline);
    for (auto row = range.first; row != range.second; ++row) {
        if (row->second == request) {
            this->deadlines.erase(row);
            break;
        }
    }
    this->requests.erase(request);
    this->metrics.set(Gauge::RequestsInFlight, static_cast<double>(this->requests.size()));
}

RequestController::Entry *RequestController::entryOf(const AttemptId &attempt)
{
    const auto request = this->attempts.find(attempt);
    return request == this->attempts.end() ? nullptr : &this->requests.at(request->second);
}

PlacementQuery RequestController::queryOf(const Entry &entry) const
{
    PlacementQuery query;
    query.request = entry.request.id;
    query.workspace = entry.request.workspace;
    query.pool = entry.request.pool;
    query.promptTokens = entry.request.promptTokens;
    query.maxTokens = entry.request.maxTokens;
    query.prefixHashes = entry.request.prefixHashes;
    query.deadline = entry.deadline;
    query.excluded = entry.excluded;
    return query;
}

} // namespace dotterel
