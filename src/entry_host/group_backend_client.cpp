#include "entry_host/group_backend_client.h"

#include "protocol/engine_memory.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int StatusOk = 200;
constexpr Duration ReleaseRetryInterval = std::chrono::milliseconds(200);
constexpr Duration ReserveTimeout = std::chrono::seconds(2);
constexpr Duration ReleaseTimeout = std::chrono::milliseconds(1'500);
constexpr int MaxReleaseAttempts = 5; ///< After that an EngineMemorySweeper releases the part.
constexpr Duration RetryAfterMemoryShortage = std::chrono::seconds(2);
const std::string AllocationsPath = "/v1/allocations/";

/// Returns the candidate servers of \a order. Each gets an equal part of the prompt, or less if it
/// has less memory.
std::vector<GroupCandidate> groupCandidatesOf(const AttemptRequest &order)
{
    std::vector<BackendServer> servers = order.additionalServers;
    servers.push_back(order.server);
    const std::uint64_t tokensPerServer =
            (order.request->promptTokens + servers.size() - 1) / servers.size();
    std::vector<GroupCandidate> candidates;
    candidates.reserve(servers.size());
    for (const BackendServer &server : servers)
        candidates.push_back({server.id, std::min(tokensPerServer, server.memoryTokens)});
    return candidates;
}

} // namespace

/// An attempt that runs on several engines.
struct GroupBackendClient::GroupAttempt
{
    AttemptRequest order;
    Request request;
    std::optional<MemoryGroup> memory; ///< Empty if the servers together cannot hold the prompt.
    std::map<ServerId, BackendServer> servers;
    std::unique_ptr<HttpFetch> fetch;
    EventLoop::TimerHandle timer;
    ServerId failedServer;        ///< Server of the request that failed.
    bool resultNotNeeded = false; ///< The result has been reported or is not wanted any more.
    int failedReleases = 0;

    const BackendServer &serverOf(const GroupPart &part) const
    {
        return this->servers.at(part.server);
    }
};

GroupBackendClient::GroupBackendClient(EventLoop &loop, HttpClient &client,
                                       const HostIdentity &identity, AttemptListener &listener)
    : loop(loop)
    , client(client)
    , identity(identity)
    , listener(listener)
    , singleEngineClient(loop, client, identity, *this)
{}

GroupBackendClient::~GroupBackendClient() = default;

void GroupBackendClient::send(const AttemptRequest &order)
{
    if (order.additionalServers.empty() || order.kind != PoolKind::Model) {
        this->singleEngineClient.send(order);
        return;
    }
    std::unique_ptr<GroupAttempt> &group = this->groupAttempts[order.attempt];
    group = std::make_unique<GroupAttempt>();
    group->order = order;
    group->request = *order.request;
    group->memory = MemoryGroup::create(order.attempt, order.request->promptTokens,
                                        groupCandidatesOf(order));
    group->servers[order.server.id] = order.server;
    for (const BackendServer &other : order.additionalServers)
        group->servers[other.id] = other;
    // A failure must not be reported from inside the listener's call of send().
    this->scheduleNextAction(*group, Duration::zero());
}

void GroupBackendClient::pause(const AttemptId &attempt, bool paused)
{
    this->singleEngineClient.pause(attempt, paused);
}

void GroupBackendClient::cancel(const AttemptId &attempt)
{
    this->singleEngineClient.cancel(attempt);
    const auto entry = this->groupAttempts.find(attempt);
    if (entry == this->groupAttempts.end())
        return;
    GroupAttempt &group = *entry->second;
    group.resultNotNeeded = true;
    group.fetch.reset();
    if (group.memory)
        group.memory->cancel();
    this->scheduleNextAction(group, Duration::zero());
}

void GroupBackendClient::onToken(const AttemptId &attempt, const AnswerToken &token)
{
    this->listener.onToken(attempt, token);
}

void GroupBackendClient::onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end)
{
    const auto entry = this->groupAttempts.find(attempt);
    if (entry != this->groupAttempts.end() && end.attempt == attempt) {
        entry->second->resultNotNeeded = true;
        entry->second->memory->onActionSucceeded();
        this->scheduleNextAction(*entry->second, Duration::zero());
    }
    this->listener.onAnswerEnd(attempt, end);
}

void GroupBackendClient::onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer)
{
    this->listener.onServiceAnswer(attempt, answer);
}

void GroupBackendClient::onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure)
{
    const auto entry = this->groupAttempts.find(attempt);
    if (entry != this->groupAttempts.end()) {
        entry->second->resultNotNeeded = true;
        entry->second->memory->onActionFailed(false);
        this->scheduleNextAction(*entry->second, Duration::zero());
    }
    this->listener.onAttemptFailed(attempt, failure);
}

void GroupBackendClient::scheduleNextAction(GroupAttempt &group, Duration delay)
{
    group.timer = this->loop.after(
            delay, [this, attempt = group.order.attempt] { this->runNextAction(attempt); });
}

void GroupBackendClient::runNextAction(const AttemptId &attempt)
{
    const auto entry = this->groupAttempts.find(attempt);
    if (entry == this->groupAttempts.end())
        return;
    GroupAttempt &group = *entry->second;
    if (!group.memory) {
        this->reportFailure(group);
        this->groupAttempts.erase(attempt);
        return;
    }
    const std::optional<GroupAction> action = group.memory->nextAction();
    if (!action || group.failedReleases >= MaxReleaseAttempts) {
        this->groupAttempts.erase(entry);
        return;
    }
    const GroupPart &part = group.memory->parts()[action->part];
    switch (action->kind) {
    case GroupActionKind::Reserve:
        this->reservePart(group, part);
        return;
    case GroupActionKind::Prefill:
        this->prefillPart(group, action->part);
        return;
    case GroupActionKind::Generate:
        this->generateFromLastPart(group);
        return;
    case GroupActionKind::Release:
        this->releasePart(group, part);
        return;
    }
}

void GroupBackendClient::reservePart(GroupAttempt &group, const GroupPart &part)
{
    HttpRequest request = this->requestFor(group, part, "PUT");
    const Duration timeToLive = request.timeout;
    request.timeout = std::min(timeToLive, ReserveTimeout);
    EngineAllocation allocation;
    allocation.id = part.allocation;
    allocation.host = this->identity.host;
    allocation.incarnation = this->identity.incarnation;
    allocation.request = group.request.id;
    allocation.tokens = part.tokens;
    allocation.timeToLive = timeToLive;
    request.body = std::make_shared<const std::string>(encodeReservation(allocation));
    this->sendRequest(group, request);
}

void GroupBackendClient::prefillPart(GroupAttempt &group, std::size_t position)
{
    const GroupPart &part = group.memory->parts()[position];
    HttpRequest request = this->requestFor(group, part, "POST");
    request.target += "/prefill";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Priority", std::to_string(group.order.priority)},
                       {"X-First-Token", std::to_string(part.firstToken)},
                       {"X-Tokens", std::to_string(part.tokens)}};
    if (position > 0) {
        const GroupPart &previous = group.memory->parts()[position - 1];
        request.headers.emplace_back("X-Import-From", group.serverOf(previous).endpoint.text() + "/"
                                                              + previous.allocation);
    }
    request.body = group.request.body;
    this->sendRequest(group, request);
}

void GroupBackendClient::generateFromLastPart(GroupAttempt &group)
{
    const GroupPart &last = group.memory->parts().back();
    AttemptRequest order = group.order;
    order.server = group.serverOf(last);
    order.allocation = last.allocation;
    order.request = &group.request;
    this->singleEngineClient.send(order);
}

void GroupBackendClient::releasePart(GroupAttempt &group, const GroupPart &part)
{
    HttpRequest request = this->requestFor(group, part, "DELETE");
    request.timeout = ReleaseTimeout;
    this->sendRequest(group, request);
}

void GroupBackendClient::sendRequest(GroupAttempt &group, const HttpRequest &request)
{
    group.fetch = std::make_unique<HttpFetch>(
            this->client, request,
            [this, attempt = group.order.attempt](const std::optional<HttpResponse> &response,
                                                  const HttpFailure &failure) {
                const bool succeeded = response && response->status == StatusOk;
                const bool refused = response ? response->header("X-Not-Run") == "true"
                                              : failure.verdict == Verdict::NotRun;
                this->onActionFinished(attempt, succeeded, refused);
            });
}

void GroupBackendClient::onActionFinished(const AttemptId &attempt, bool succeeded, bool refused)
{
    const auto entry = this->groupAttempts.find(attempt);
    if (entry == this->groupAttempts.end())
        return;
    GroupAttempt &group = *entry->second;
    const bool releasing = group.memory->outcome() != GroupOutcome::Pending;
    const std::optional<GroupAction> action = group.memory->nextAction();
    if (!succeeded && !releasing && action)
        group.failedServer = group.memory->parts()[action->part].server;
    if (succeeded)
        group.memory->onActionSucceeded();
    else
        group.memory->onActionFailed(refused);
    if (releasing && !succeeded)
        ++group.failedReleases;
    // The fetch must not be replaced inside its own callback.
    this->scheduleNextAction(group,
                             releasing && !succeeded ? ReleaseRetryInterval : Duration::zero());
    if (!succeeded)
        this->reportFailure(group);
}

void GroupBackendClient::reportFailure(GroupAttempt &group)
{
    if (group.resultNotNeeded)
        return;
    group.resultNotNeeded = true;
    const bool unavailable =
            !group.memory || group.memory->outcome() == GroupOutcome::MemoryUnavailable;
    // No token was generated in either case, and prefill has no effect outside the engine, so the
    // attempt counts as not run.
    AttemptFailure failure;
    failure.failure = {Verdict::NotRun,
                       unavailable ? Reason::MemoryUnavailable : Reason::BackendFailed,
                       unavailable ? "the engines have too little free memory for the prompt"
                                   : "an engine failed while the prompt was processed in parts",
                       RetryAfterMemoryShortage};
    failure.failedServer = group.failedServer;
    this->listener.onAttemptFailed(group.order.attempt, failure);
}

HttpRequest GroupBackendClient::requestFor(const GroupAttempt &group, const GroupPart &part,
                                           const std::string &method) const
{
    HttpRequest request;
    request.endpoint = group.serverOf(part).endpoint;
    request.method = method;
    request.target = AllocationsPath + part.allocation;
    request.timeout = std::max<Duration>(group.order.deadline - this->loop.now(), Duration(1'000));
    return request;
}

} // namespace dotterel
