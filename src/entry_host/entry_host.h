#pragma once

#include "coordination/backend_directory.h"
#include "coordination/membership.h"
#include "coordination/order_object_ledger.h"
#include "coordination/request_controller.h"
#include "coordination/work_ahead_placement.h"
#include "core/prometheus_metrics.h"
#include "core/random_source.h"
#include "entry_host/caller_api.h"
#include "entry_host/configuration_feed.h"
#include "entry_host/draining_server_prober.h"
#include "entry_host/engine_memory_sweeper.h"
#include "entry_host/group_backend_client.h"
#include "entry_host/load_poller.h"
#include "entry_host/membership_driver.h"
#include "entry_host/operator_api.h"
#include "entry_host/peer_mesh.h"
#include "state/http_object_store.h"
#include "state/settings.h"
#include "transport/http_client.h"

#include <functional>
#include <list>
#include <memory>

namespace dotterel {

/// An entry host. Connects the decision classes to the event loop, the network and the platform.
class EntryHost
    : private RequestEffects
    , private AttemptListener
    , private CallerListener
    , private PeerListener
    , private MembershipDriverListener
    , private HostLiveness
    , private OrderOutcomeReplicator
    , private OperatorTarget
{
public:
    /// Binds the host's three addresses. Throws std::runtime_error if one cannot be bound.
    /// \a onDrainFinished is called at the end of a graceful shutdown that an operator requested.
    EntryHost(EventLoop &loop, const Settings &settings, Incarnation incarnation, EventLog &log,
              std::function<void()> onDrainFinished = {});
    ~EntryHost() override;

    /// Starts a graceful shutdown; \a finished is called when every request has ended.
    void beginShutdown(std::function<void()> finished);

    /// Bound addresses, with the ports that were chosen for port 0.
    Endpoint callers() const { return this->callerApi.endpoint(); }
    Endpoint operators() const { return this->operatorApi.endpoint(); }
    Endpoint peers() const { return this->peerMesh.endpoint(); }

    /// Returns the number of response bytes that are buffered because callers have not read them.
    std::size_t unsentCallerBytes() const { return this->callerApi.unsentBytes(); }

private:
    // RequestEffects
    void sendAttempt(const AttemptRequest &order) override;
    void cancelAttempt(const AttemptId &attempt) override;
    void pauseAttempt(const AttemptId &attempt, bool paused) override;
    void broadcastCrashNotice(const CrashNotice &notice) override;
    void claimOrder(const OrderClaim &claim) override;
    void recordOrderAnswer(const OrderClaim &claim, const ServiceAnswer &answer) override;
    void releaseOrder(const OrderClaim &claim) override;
    void deliverText(const RequestId &request, const std::string &text) override;
    void finishAnswer(const RequestId &request, std::uint64_t tokens) override;
    void deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer) override;
    void refuse(const RequestId &request, const Failure &failure) override;

    // AttemptListener
    void onToken(const AttemptId &attempt, const AnswerToken &token) override;
    void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end) override;
    void onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer) override;
    void onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure) override;

    // CallerListener
    void onRequest(const Request &request) override;
    void onMalformedRequest(const Failure &failure) override;
    void onCallerDisconnected(const RequestId &request) override;
    void onCallerBlocked(const RequestId &request, bool blocked) override;

    // PeerListener
    void onPeerLinkOpened(std::uint64_t link) override;
    void onPeerMessage(std::uint64_t link, const PeerMessage &message) override;

    // OrderOutcomeReplicator
    void replicateOutcome(const OrderOutcome &outcome) override;

    // MembershipDriverListener
    void onHostList(const std::vector<HostListEntry> &hosts) override;
    void onServerNotice(const ServerDrainNotice &notice) override;
    void beforeHeartbeat() override;
    // HostLiveness
    bool isBelievedAlive(const HostId &host, Incarnation incarnation) const override;
    // OperatorTarget
    bool isReady() const override;
    HostStatus status() const override;
    void drain() override;

    void applyConfiguration(const Configuration &configuration);
    void scheduleControllerTimer();
    void runDueLedgerTimers();
    void startLedgerTimer();
    void scheduleDispatchUpdate();
    void pollLoads();
    void onLoadReport(const ServerId &server, const LoadReport &report);
    void onLoadUpdate(const LoadUpdate &update);
    void finishShutdownWhenIdle();

    EventLoop &loop;
    Settings settings;
    HostIdentity identity;
    EventLog &log;
    PrometheusMetrics metrics;
    SeededRandom random;
    HttpClient httpClient;
    HttpObjectStore platform;
    BackendDirectory serverDirectory;
    WorkAheadPlacement placement;
    CrashGuard crashGuard;
    RequestController controller;
    OrderObjectLedger orderLedger;
    ConfigurationFeed configurationFeed;
    Membership membership;
    LoadPoller loadPoller;
    GroupBackendClient backendClient;
    CallerApi callerApi;
    PeerMesh peerMesh;
    MembershipDriver membershipDriver;
    DrainingServerProber drainingServerProber;
    EngineMemorySweeper memorySweeper;
    OperatorApi operatorApi;
    std::function<void()> onDrainFinished;
    bool shuttingDown = false;
    bool destroying = false;
    TimePoint idleSince; ///< Start of the current idle period of the shutdown.
    std::uint64_t lastReceivedBytes = 0;
    std::function<void()> shutdownFinished;
    EventLoop::TimerHandle controllerTimer;
    EventLoop::TimerHandle ledgerTimer; ///< Starts with the first order.
    std::optional<TimePoint> ledgerFlushDeadline;
    EventLoop::TimerHandle loadPollTimer;
    EventLoop::TimerHandle dispatchUpdateTimer;
    bool dispatchUpdateScheduled = false;
    EventLoop::TimerHandle shutdownGraceTimer;
    EventLoop::TimerHandle shutdownDrainTimer;
};

} // namespace dotterel
