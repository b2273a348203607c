#include "entry_host/prompt_update_channel.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// How long items are batched. Shorter than a forward pass of any engine, so that hosts rarely
/// choose the same engine unknowingly; longer than the gap between items of one turn of the event
/// loop.
constexpr Duration BatchInterval = std::chrono::milliseconds(3);
/// Keeps a datagram within one packet.
constexpr std::size_t MaxItemsPerDatagram = 16;
/// Bounds the reply to a host that joins; the rest of the prompts stays unknown to it.
constexpr std::size_t MaxRunningPrompts = 512;

} // namespace

PromptUpdateChannel::PromptUpdateChannel(EventLoop &loop, const Endpoint &endpoint,
                                         std::uint32_t sender, UpdateRoutes &routes,
                                         Listener listener, Metrics &metrics, EventLog &log)
    : loop(loop)
    , routes(routes)
    , listener(std::move(listener))
    , metrics(metrics)
    , log(log)
    , socket(loop, endpoint, [this](std::string_view bytes) { this->onDatagram(bytes); })
{
    this->pending.senderHash = sender;
}

void PromptUpdateChannel::enqueue(const PromptUpdate &item)
{
    this->pending.updates.push_back(item);
    if (this->pending.updates.size() >= MaxItemsPerDatagram) {
        this->flush();
        return;
    }
    this->scheduleFlush();
}

void PromptUpdateChannel::enqueueLimit(const ServerLimitNotice &notice)
{
    this->enqueueServerNotice(this->pending.limits, notice);
}

void PromptUpdateChannel::enqueueWarmUp(const ServerWarmUpNotice &notice)
{
    this->enqueueServerNotice(this->pending.warmUps, notice);
}

template <typename Notice>
void PromptUpdateChannel::enqueueServerNotice(std::vector<Notice> &notices, const Notice &notice)
{
    const auto earlier = std::find_if(notices.begin(), notices.end(), [&](const auto &candidate) {
        return candidate.serverHash == notice.serverHash;
    });
    if (earlier != notices.end())
        *earlier = notice;
    else
        notices.push_back(notice);
    if (notices.size() >= MaxItemsPerDatagram)
        return this->flush();
    this->scheduleFlush();
}

void PromptUpdateChannel::scheduleFlush()
{
    if (this->flushScheduled)
        return;
    this->flushScheduled = true;
    this->flushTimer = this->loop.after(BatchInterval, [this] { this->flush(); });
}

void PromptUpdateChannel::flush()
{
    this->flushScheduled = false;
    if (this->pending.updates.empty() && this->pending.limits.empty()
        && this->pending.warmUps.empty())
        return;
    if (!this->peers.empty()) {
        const std::string bytes = encodePromptUpdates(this->pending);
        // A lost update is corrected when the prompt expires, so a full send queue is not an error.
        const UpdateReceivers receivers = this->routes.receivers(this->loop.now());
        for (const Endpoint &peer : receivers.direct)
            this->socket.send(peer, bytes);
        const std::string wrapped =
                receivers.forwarders.empty() ? std::string() : wrapForForwarding(bytes);
        for (const Endpoint &peer : receivers.forwarders)
            this->socket.send(peer, wrapped);
    }
    this->pending.updates.clear();
    this->pending.limits.clear();
    this->pending.warmUps.clear();
}

void PromptUpdateChannel::sendLimits(const Endpoint &peer,
                                     const std::vector<ServerLimitNotice> &limits)
{
    this->sendServerNotices(peer, limits, &PromptUpdateBatch::limits);
}

void PromptUpdateChannel::sendWarmUps(const Endpoint &peer,
                                      const std::vector<ServerWarmUpNotice> &warmUps)
{
    this->sendServerNotices(peer, warmUps, &PromptUpdateBatch::warmUps);
}

void PromptUpdateChannel::sendLeaving(const Endpoint &peer,
                                      const std::vector<ServerLeavingNotice> &leaving)
{
    this->sendServerNotices(peer, leaving, &PromptUpdateBatch::leavingServers);
}

template <typename Notice>
void PromptUpdateChannel::sendServerNotices(const Endpoint &peer,
                                            const std::vector<Notice> &notices,
                                            std::vector<Notice> PromptUpdateBatch::*member)
{
    for (std::size_t begin = 0; begin < notices.size(); begin += MaxItemsPerDatagram) {
        PromptUpdateBatch batch;
        batch.senderHash = this->pending.senderHash;
        const std::size_t end = std::min(notices.size(), begin + MaxItemsPerDatagram);
        (batch.*member)
                .assign(notices.begin() + static_cast<std::ptrdiff_t>(begin),
                        notices.begin() + static_cast<std::ptrdiff_t>(end));
        this->socket.send(peer, encodePromptUpdates(batch));
    }
}

void PromptUpdateChannel::announceJoin()
{
    PromptUpdateBatch batch;
    batch.senderHash = this->pending.senderHash;
    batch.joinedAt = this->socket.endpoint();
    const std::string bytes = encodePromptUpdates(batch);
    for (const Endpoint &peer : this->peers)
        this->socket.send(peer, bytes);
}

void PromptUpdateChannel::announceLeaving(const ServerLeavingNotice &notice)
{
    PromptUpdateBatch batch;
    batch.senderHash = this->pending.senderHash;
    batch.leavingServers.push_back(notice);
    const std::string bytes = encodePromptUpdates(batch);
    // A host that misses this learns it from the next answer of the server.
    for (const Endpoint &peer : this->peers)
        this->socket.send(peer, bytes);
}

void PromptUpdateChannel::announceOutOfReach(const std::vector<std::uint32_t> &poolHashes)
{
    PromptUpdateBatch batch;
    batch.senderHash = this->pending.senderHash;
    batch.poolsOutOfReach = poolHashes;
    const std::string bytes = encodePromptUpdates(batch);
    for (const Endpoint &peer : this->peers)
        this->socket.send(peer, bytes);
}

void PromptUpdateChannel::announceWorking(const std::vector<std::uint32_t> &serverHashes)
{
    PromptUpdateBatch batch;
    batch.senderHash = this->pending.senderHash;
    batch.workingServers = serverHashes;
    const std::string bytes = encodePromptUpdates(batch);
    for (const Endpoint &peer : this->peers)
        this->socket.send(peer, bytes);
}

void PromptUpdateChannel::sendRetryAsk(const Endpoint &peer, const RetryAsk &ask)
{
    PromptUpdateBatch batch;
    batch.senderHash = this->pending.senderHash;
    batch.retryAsks.push_back(ask);
    this->socket.send(peer, encodePromptUpdates(batch));
}

void PromptUpdateChannel::sendRetryLoan(const Endpoint &peer, const RetryLoan &loan)
{
    PromptUpdateBatch batch;
    batch.senderHash = this->pending.senderHash;
    batch.retryLoans.push_back(loan);
    this->socket.send(peer, encodePromptUpdates(batch));
}

void PromptUpdateChannel::sendRunning(const Endpoint &peer,
                                      const std::vector<RunningPrompt> &prompts)
{
    const std::size_t count = std::min(prompts.size(), MaxRunningPrompts);
    for (std::size_t begin = 0; begin < count; begin += MaxItemsPerDatagram) {
        PromptUpdateBatch batch;
        batch.senderHash = this->pending.senderHash;
        for (std::size_t i = begin; i < std::min(count, begin + MaxItemsPerDatagram); ++i)
            batch.running.push_back(prompts[i]);
        this->socket.send(peer, encodePromptUpdates(batch));
    }
}

void PromptUpdateChannel::onDatagram(std::string_view bytes)
{
    const std::optional<std::string> forwarded = unwrapForwarded(bytes);
    if (!forwarded)
        return this->receive(bytes);
    for (const Endpoint &peer : this->routes.domainPeers())
        this->socket.send(peer, *forwarded);
    this->receive(*forwarded);
}

bool PromptUpdateChannel::isRepeated(std::string_view bytes)
{
    const std::uint64_t hash = hash64(bytes);
    if (std::find(this->recentHashes.begin(), this->recentHashes.end(), hash)
        != this->recentHashes.end())
        return true;
    this->recentHashes.at(this->nextHash) = hash;
    this->nextHash = (this->nextHash + 1) % this->recentHashes.size();
    return false;
}

void PromptUpdateChannel::receive(std::string_view bytes)
{
    if (this->isRepeated(bytes))
        return;
    const tl::expected<PromptUpdateBatch, std::string> update = decodePromptUpdates(bytes);
    if (!update) {
        this->metrics.count(Counter::PeerFramesRejected, 1);
        this->log.write(Event::PeerFrameRejected,
                        {{"channel", std::string("prompt_updates")}, {"error", update.error()}});
        return;
    }
    if (update->senderHash == this->pending.senderHash)
        return;
    this->routes.onReceived(update->senderHash, this->loop.now());
    this->listener(*update);
}

} // namespace dotterel
