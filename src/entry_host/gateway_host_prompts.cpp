// The part of GatewayHost that follows the prompts of the other entry hosts.

#include "core/hashing.h"
#include "entry_host/gateway_host.h"

#include <algorithm>

namespace dotterel {

const Endpoint *GatewayHost::updateEndpoint(std::uint32_t senderHash) const
{
    for (const UpdatePeer &peer : this->liveUpdatePeers) {
        if (peer.senderHash == senderHash)
            return &peer.endpoint;
    }
    return nullptr;
}

void GatewayHost::sendRetryAsk(std::uint32_t host, const RetryAsk &ask)
{
    if (const Endpoint *endpoint = this->updateEndpoint(host))
        this->promptUpdates.sendRetryAsk(*endpoint, ask);
}

void GatewayHost::sendRetryLoan(std::uint32_t host, const RetryLoan &loan)
{
    if (const Endpoint *endpoint = this->updateEndpoint(host))
        this->promptUpdates.sendRetryLoan(*endpoint, loan);
}

void GatewayHost::updatePromptPeers()
{
    const TimePoint now = this->loop.now();
    const std::vector<Endpoint> endpoints = this->promptUpdatePeers.endpoints(now);
    this->promptUpdates.setPeers(endpoints);
    this->updateRoutes.setPeers(this->liveUpdatePeers, endpoints);
    if (this->promptUpdatePeers.takeAnnouncement(now))
        this->promptUpdates.announceJoin();
}

const EngineProfile *GatewayHost::engineProfileOf(const ServerId &server) const
{
    const GatewayServer *known = this->fleet.find(server);
    if (known == nullptr || !this->routes->configuration())
        return nullptr;
    const auto &pools = this->routes->configuration()->pools;
    const auto pool = pools.find(known->pool);
    return pool == pools.end() || !pool->second.engine ? nullptr : &*pool->second.engine;
}

void GatewayHost::onPromptUpdates(const PromptUpdateBatch &update)
{
    const TimePoint now = this->loop.now();
    // A host that counts its requests is known as such before its dispatches are read.
    for (const ServerLimitNotice &notice : update.limits)
        this->recordLimit(update.senderHash, notice);
    for (const ServerWarmUpNotice &notice : update.warmUps)
        this->recordWarmUp(update.senderHash, notice);
    for (const PromptUpdate &item : update.updates) {
        const PromptKey key{update.senderHash, item.sequence};
        switch (item.kind) {
        case PromptUpdateKind::Dispatched:
            this->addRemoteDispatch(update.senderHash, {item, Duration::zero(), Duration::zero()},
                                    true);
            this->countRemoteDispatch(update.senderHash, item);
            break;
        case PromptUpdateKind::FirstEvent:
            this->promptPlacement.onFirstEvent(key, now);
            this->fleet.onPromptFirstEvent(key, now);
            this->recordFirstEvent(item.serverHash);
            break;
        case PromptUpdateKind::Unanswered:
            this->promptPlacement.onSilent(key, now);
            this->fleet.onPromptEnded(key);
            this->recordSilenceReport(item.serverHash, update.senderHash);
            break;
        case PromptUpdateKind::Ended:
            this->promptPlacement.onEnded(key, now);
            this->fleet.onPromptEnded(key);
            break;
        }
    }
    for (const ServerLeavingNotice &notice : update.leavingServers)
        this->recordLeaving(notice);
    for (const RetryAsk &ask : update.retryAsks)
        this->controller.onRetryAsk(update.senderHash, ask, now);
    for (const RetryLoan &loan : update.retryLoans)
        this->controller.onRetryLoan(update.senderHash, loan, now);
    if (!update.retryLoans.empty())
        this->scheduleControllerTimer();
    if (!update.poolsOutOfReach.empty())
        this->relayPeers.onOutOfReach(update.senderHash, update.poolsOutOfReach, now);
    for (const std::uint32_t server : update.workingServers)
        this->recordWorkingServer(server);
    for (const RunningPrompt &running : update.running)
        this->addRemoteDispatch(update.senderHash, running, false);
    if (update.joinedAt) {
        this->promptUpdatePeers.onJoined(*update.joinedAt, now);
        this->updatePromptPeers();
        this->promptUpdates.sendRunning(*update.joinedAt, this->controller.runningPrompts(now));
        this->sendServerNotices(*update.joinedAt);
    }
}

void GatewayHost::addRemoteDispatch(std::uint32_t senderHash, const RunningPrompt &running,
                                    bool isNew)
{
    const PromptUpdate &item = running.dispatch;
    EnginePrompt prompt;
    prompt.key = {senderHash, item.sequence};
    prompt.demand = item.demand;
    prompt.prefillEngines = item.helperHashes.size() + 1;
    prompt.dispatchedAt = this->loop.now() - running.age;
    prompt.isReported = isNew;
    if (!isNew)
        prompt.prefillLeft = running.prefillLeft;
    prompt.memoryTokens = item.demand.promptTokens + item.demand.outputTokens;
    for (const std::uint64_t helperTokens : item.helperMemoryTokens)
        prompt.memoryTokens -= std::min(prompt.memoryTokens, helperTokens);
    this->addRemotePrompt(item.serverHash, prompt);
    prompt.isHelper = true;
    for (std::size_t index = 0; index < item.helperHashes.size(); ++index) {
        prompt.memoryTokens = item.helperMemoryTokens[index];
        this->addRemotePrompt(item.helperHashes[index], prompt);
    }
}

void GatewayHost::addRemotePrompt(std::uint32_t server, const EnginePrompt &prompt)
{
    const auto id = this->serversByHash.find(server);
    if (id == this->serversByHash.end())
        return;
    if (const EngineProfile *engine = this->engineProfileOf(id->second))
        this->promptPlacement.onDispatched(id->second, *engine, prompt, this->loop.now());
    if (!prompt.isHelper)
        this->fleet.onPromptDispatched(id->second, prompt, this->loop.now());
}

void GatewayHost::recordFirstEvent(std::uint32_t server)
{
    const auto id = this->serversByHash.find(server);
    if (id != this->serversByHash.end())
        this->fleet.onAttemptOutcome(id->second, AttemptOutcome::Answered, this->loop.now());
}

void GatewayHost::recordLeaving(const ServerLeavingNotice &notice)
{
    const TimePoint now = this->loop.now();
    const auto id = this->serversByHash.find(notice.serverHash);
    const GatewayServer *server =
            id == this->serversByHash.end() ? nullptr : this->fleet.find(id->second);
    if (server == nullptr)
        this->fleet.onDepartureReported(notice, now);
    else if (server->incarnation == notice.incarnation)
        this->fleet.onLeavingAnnounced(id->second, now);
}

void GatewayHost::recordSilenceReport(std::uint32_t server, std::uint32_t senderHash)
{
    const auto id = this->serversByHash.find(server);
    if (id == this->serversByHash.end())
        return;
    const TimePoint now = this->loop.now();
    this->silenceReplies.onReport(id->second, this->fleet.lastOwnSign(id->second), now);
    this->fleet.onSilenceReported(id->second, senderHash, now);
    this->sendSilenceReplies();
}

void GatewayHost::recordWorkingServer(std::uint32_t server)
{
    const auto id = this->serversByHash.find(server);
    if (id == this->serversByHash.end())
        return;
    this->silenceReplies.onReply(id->second, this->loop.now());
    this->fleet.onSilenceContradicted(id->second, this->loop.now());
}

void GatewayHost::sendSilenceReplies()
{
    std::vector<std::uint32_t> hashes;
    for (const ServerId &server : this->silenceReplies.takeDue(this->loop.now()))
        hashes.push_back(hash32(server));
    if (!hashes.empty())
        this->promptUpdates.announceWorking(hashes);
    const std::optional<TimePoint> next = this->silenceReplies.nextDue();
    this->silenceReplyTimer.reset();
    if (next)
        this->silenceReplyTimer =
                this->loop.after(*next - this->loop.now(), [this] { this->sendSilenceReplies(); });
}

} // namespace dotterel
