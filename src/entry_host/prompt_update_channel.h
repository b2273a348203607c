#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/metrics.h"
#include "gateway/prompt_updates.h"
#include "gateway/update_routes.h"
#include "protocol/peer_message.h"
#include "transport/datagram_socket.h"

#include <array>
#include <functional>
#include <vector>

namespace dotterel {

/// Exchanges prompt updates with the other entry hosts over UDP: updates are batched for a few
/// milliseconds and sent to every host, directly or through hosts that pass them on.
class PromptUpdateChannel
{
public:
    using Listener = std::function<void(const PromptUpdateBatch &)>;

    /// Binds a UDP socket to \a endpoint. Throws std::runtime_error if that fails.
    PromptUpdateChannel(EventLoop &loop, const Endpoint &endpoint, std::uint32_t sender,
                        UpdateRoutes &routes, Listener listener, Metrics &metrics, EventLog &log);

    /// Sets the hosts to send to, without this one.
    void setPeers(std::vector<Endpoint> endpoints) { this->peers = std::move(endpoints); }

    /// Announces to all hosts that this one has started and asks for their prompts in flight.
    void announceJoin();

    /// Tells the peers that a backend server leaves.
    void announceLeaving(const ServerLeavingNotice &notice);

    /// Tells the peers of the limit or warm-up of a server with the next batch, which replaces an
    /// earlier notice about it.
    void enqueueLimit(const ServerLimitNotice &notice);
    void enqueueWarmUp(const ServerWarmUpNotice &notice);

    /// Tells the peers of which pools, by the hashes of their names, this host reaches no server.
    void announceOutOfReach(const std::vector<std::uint32_t> &poolHashes);

    /// Tells the peers that the servers with these hashes of their ids work.
    void announceWorking(const std::vector<std::uint32_t> &serverHashes);

    /// Sends an ask for, or a loan of, retry budget to \a peer at once.
    void sendRetryAsk(const Endpoint &peer, const RetryAsk &ask);
    void sendRetryLoan(const Endpoint &peer, const RetryLoan &loan);

    /// Sends \a limits, \a warmUps or \a leaving servers to \a peer.
    void sendLimits(const Endpoint &peer, const std::vector<ServerLimitNotice> &limits);
    void sendWarmUps(const Endpoint &peer, const std::vector<ServerWarmUpNotice> &warmUps);
    void sendLeaving(const Endpoint &peer, const std::vector<ServerLeavingNotice> &leaving);

    /// Sends \a prompts, which are in flight, to \a peer.
    void sendRunning(const Endpoint &peer, const std::vector<RunningPrompt> &prompts);

    /// Sends \a item with the next batch.
    void enqueue(const PromptUpdate &item);

private:
    template <typename Notice>
    void enqueueServerNotice(std::vector<Notice> &notices, const Notice &notice);
    template <typename Notice>
    void sendServerNotices(const Endpoint &peer, const std::vector<Notice> &notices,
                           std::vector<Notice> PromptUpdateBatch::*member);
    void scheduleFlush();
    void flush();
    void onDatagram(std::string_view bytes);
    void receive(std::string_view bytes);
    /// Returns true if the same datagram arrived a short time ago, through another forwarder.
    bool isRepeated(std::string_view bytes);

    static constexpr std::size_t RememberedDatagrams = 64;

    EventLoop &loop;
    UpdateRoutes &routes;
    Listener listener;
    Metrics &metrics;
    EventLog &log;
    DatagramSocket socket;
    PromptUpdateBatch pending;
    std::vector<Endpoint> peers;
    std::array<std::uint64_t, RememberedDatagrams> recentHashes{};
    std::size_t nextHash = 0; ///< Index of the oldest one.
    EventLoop::TimerHandle flushTimer;
    bool flushScheduled = false;
};

} // namespace dotterel
