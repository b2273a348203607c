#pragma once

#include "coordination/membership.h"
#include "core/prometheus_metrics.h"
#include "core/random_source.h"
#include "entry_host/collection_feed.h"
#include "entry_host/gateway_attempts.h"
#include "entry_host/membership_driver.h"
#include "entry_host/operator_api.h"
#include "entry_host/peer_mesh.h"
#include "entry_host/prompt_update_channel.h"
#include "entry_host/relay_listener.h"
#include "gateway/crash_suspect_keeper.h"
#include "gateway/domain_service.h"
#include "gateway/host_entries.h"
#include "gateway/host_entry_reconciler.h"
#include "gateway/prompt_update_peers.h"
#include "gateway/silence_replies.h"
#include "state/settings.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace dotterel {

/// An entry host that forwards requests as a gateway. Connects the ForwardController to the event
/// loop, the network, the platform's store and the other entry hosts.
class GatewayHost
    : private HttpCallHandler
    , private ForwardEffects
    , private PeerListener
    , private MembershipDriverListener
    , private OperatorTarget
{
public:
    /// Binds the host's addresses. \a readinessPath is the path of the load balancer's health
    /// check. \a onDrainFinished is called when a drain that an operator asked for has ended.
    /// Throws std::runtime_error if an address cannot be bound.
    GatewayHost(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                const GatewayProtocol &protocol, CollectionStore &store, std::string readinessPath,
                EventLog &log, std::function<void()> onDrainFinished = {});
    ~GatewayHost() override;

    /// Starts a graceful shutdown; \a finished is called when every request has ended. A shutdown
    /// in progress keeps its time limit; \a finished replaces the earlier callback.
    void beginShutdown(std::function<void()> finished);

    /// Logs and counts an exception that left the handling of one event by \a source; for
    /// EventLoop::setFaultHandler().
    void reportFault(std::string_view source, const std::exception &error);

    /// Applies the settings that can be reloaded at run time; ignores the others.
    void applySettings(const Settings &newSettings);

    /// Bound addresses, with the ports that were chosen for port 0.
    Endpoint callers() const { return this->callerServer.endpoint(); }
    Endpoint operators() const { return this->operatorApi.endpoint(); }
    Endpoint readiness() const { return this->readinessServer.endpoint(); }

    /// Returns true while the load balancer should route callers to this host.
    bool ready() const { return this->isReady(); }

    /// Returns the status that the operator API shows.
    HostStatus status() const override;

private:
    // HttpCallHandler
    void onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                       std::shared_ptr<const std::string> body) override;
    void onHttpPeerClosed(HttpCallId call) override;
    void onHttpDrained(HttpCallId call) override;
    void onHttpRejected(int status) override;

    // ForwardEffects
    void sendAttempt(ForwardAttemptId attempt, const HttpRequest &request) override;
    void cancelAttempt(ForwardAttemptId attempt) override;
    void pauseAttempt(ForwardAttemptId attempt, bool paused) override;
    void sendReservationRequest(const MemoryReservationRequest &order) override;
    void probeServer(const GatewayServer &server) override;
    void sendResponse(HttpCallId call, int status, const HttpHeaders &headers,
                      std::string_view body) override;
    void startResponse(HttpCallId call, int status, const HttpHeaders &headers,
                       std::optional<std::uint64_t> length) override;
    std::size_t sendResponseData(HttpCallId call, std::string_view bytes) override;
    void endResponse(HttpCallId call) override;
    void abortResponse(HttpCallId call) override;
    void publishPromptUpdate(const PromptUpdate &item) override;
    void publishServerLeaving(const ServerLeavingNotice &notice) override;
    void publishServerLimit(const ServerLimitNotice &notice) override;
    void publishServerWarmUp(const ServerWarmUpNotice &notice) override;
    void sendRetryAsk(std::uint32_t host, const RetryAsk &ask) override;
    void sendRetryLoan(std::uint32_t host, const RetryLoan &loan) override;
    void publishCrashNotice(const CrashNotice &notice) override;

    // PeerListener
    void onPeerLinkOpened(std::uint64_t link) override;
    void onPeerMessage(std::uint64_t link, const PeerMessage &message) override;

    // MembershipDriverListener
    void onHostList(const std::vector<HostListEntry> &hosts) override;
    void onServerNotice(const ServerDrainNotice &notice) override;
    void beforeHeartbeat() override;

    // OperatorTarget
    bool isReady() const override;
    void drain() override;

    PeerLocality peerLocation(std::uint64_t link) const;
    void removeHostEntry(const HostId &host);
    void restoreHostEntry(const MemberRecord &member);
    CollectionFeed *feedForCollection(std::uint8_t collection);
    void applyConfigurationObjects(const std::vector<CollectionObject> &objects);
    void applyServerObjects(const std::vector<CollectionObject> &objects,
                            const CollectionFeed::ChangeContext &context);
    void onPromptUpdates(const PromptUpdateBatch &update);
    void updatePromptPeers();
    /// Returns where the host with this incarnation hash gets updates; nullptr if it is not live.
    const Endpoint *updateEndpoint(std::uint32_t senderHash) const;
    void addRemoteDispatch(std::uint32_t senderHash, const RunningPrompt &running, bool isNew);
    /// Counts the requests of hosts of earlier versions to servers that warm up.
    void countRemoteDispatch(std::uint32_t senderHash, const PromptUpdate &dispatch);
    void recordFirstEvent(std::uint32_t server);
    void recordLeaving(const ServerLeavingNotice &notice);
    void recordLimit(std::uint32_t senderHash, const ServerLimitNotice &notice);
    void recordWarmUp(std::uint32_t senderHash, const ServerWarmUpNotice &notice);
    /// Tells a host that just joined what servers take, and which ones leave or have left.
    void sendServerNotices(const Endpoint &peer);
    /// Splits the limits of servers over the hosts that this one is in touch with.
    void shareLimits(std::size_t liveHosts);
    void recordSilenceReport(std::uint32_t server, std::uint32_t senderHash);
    void recordWorkingServer(std::uint32_t server);
    /// Sends the due contradictions of silence reports, and schedules the next one.
    void sendSilenceReplies();
    void addRemotePrompt(std::uint32_t server, const EnginePrompt &prompt);
    const EngineProfile *engineProfileOf(const ServerId &server) const;
    void registerHostEntry();
    /// Returns the feeds of the collections that this host follows.
    std::vector<CollectionFeed *> activeFeeds();
    /// Returns what the feed of \a collection tells the feeds of the others.
    CollectionFeed::HostEvents feedEvents(Collection collection);
    /// Handles a change of the era of the store that the feed of \a source noticed.
    void onPlatformEra(std::uint64_t era, Collection source);
    /// Sets this host's turn among those that watch the store; nullopt if it does not.
    void setWatchTurn(const std::optional<WatchTurn> &turn);
    bool followsDomains() const;
    /// Returns true if this host knows which failure domains are out of service, or has waited long
    /// enough for it.
    bool knowsDomains() const;
    void applyDomainObjects(const std::vector<CollectionObject> &objects,
                            const CollectionFeed::ChangeContext &context);
    void onDomainServiceChanged();
    void scheduleDomainTimer();
    void requestObjectsFromPeers();
    void updateStoreWatching(const std::vector<MemberRecord> &live);
    /// Renews the watches and the peer links if most links fell silent at once.
    void checkPeerLinks();
    /// Tells the peer of \a link which requests crash servers.
    void sendCrashNotices(std::uint64_t link);
    /// Tells one peer after the other again of what crashes servers repeatedly, since a notice may
    /// get lost with its link.
    void repeatCrashNotices();
    /// Applies suspects that the store keeps.
    void applySuspectObjects(const std::vector<CollectionObject> &objects);
    /// Returns true if this host knows what the store keeps of suspects, or has waited long enough
    /// for it.
    bool knowsSuspects() const;
    /// Returns true if this host does the task \a task for its failure domain.
    bool isOwnTask(const std::string &task) const;
    /// Returns true once this host has had the time to find the others.
    bool hasFoundPeers() const;
    /// Writes or removes the entries of suspects in the store that are this host's task.
    void writeSuspectEntries();
    void scheduleSuspectWrites();
    void onSuspectWritten(const CrashSuspectKeeper::Change &change,
                          const tl::expected<void, StoreError> &result);
    void renewWatches(const char *reason);
    void scheduleControllerTimer();
    void finishShutdownWhenIdle();
    /// Calls shutdownFinished once the last bytes are flushed.
    void reportShutdown();
    KeepAliveHttpServerLimits callerServerLimits() const;
    KeepAliveHttpServerLimits relayServerLimits() const;
    /// Returns the server of \a call and sets \a call to its id there.
    KeepAliveHttpServer &serverOf(HttpCallId &call);
    /// Tells the other hosts which pools are out of reach, and probes some of their servers.
    void checkReach();
    void probePool(const std::string &pool);
    void sendProbe(const GatewayServer &server, HttpRequest request);
    void updateRelayPeers(const std::vector<MemberRecord> &live);
    ResponseLimits heldResponseLimits() const;

    EventLoop &loop;
    Settings settings;
    HostIdentity identity;
    const GatewayProtocol &protocol;
    CollectionStore &store;
    std::string readinessPath;
    EventLog &log;
    PrometheusMetrics metrics;
    SeededRandom random;
    std::shared_ptr<const RouteTable> routes = std::make_shared<RouteTable>();
    ServerFleet fleet;
    SilenceReplies silenceReplies;
    PromptPlacement promptPlacement;
    ServicePlacement servicePlacement;
    RetryBudget retryAllowance;
    CrashGuard crashGuard;
    PromptPartGuard partGuard;
    CrashSuspectKeeper suspectKeeper;
    ServiceReach reach;
    DomainService domainService;
    RelayPeers relayPeers;
    ForwardController controller;
    KeepAliveHttpClient httpClient;
    GatewayAttempts attempts;
    KeepAliveHttpServer callerServer;
    RelayListener relayListener;
    Membership membership;
    PeerMesh peerMesh;
    CollectionHostList hostList;
    HostEntryReconciler entryKeeper;
    MembershipDriver membershipDriver;
    UpdateRoutes updateRoutes;
    PromptUpdateChannel promptUpdates;
    PromptUpdatePeers promptUpdatePeers;
    CollectionFeed configurationFeed;
    CollectionFeed serverFeed;
    CollectionFeed domainFeed;
    CollectionFeed suspectFeed;
    HttpServer readinessServer;
    OperatorApi operatorApi;
    std::unordered_map<std::uint32_t, ServerId> serversByHash;
    TimePoint startedAt;
    std::function<void()> onDrainFinished;
    std::size_t listedHosts = 0;             ///< Hosts on the platform's list, with this one.
    std::vector<UpdatePeer> liveUpdatePeers; ///< Live hosts at the last heartbeat.
    std::set<HostId> sameDomainHosts;        ///< Live hosts in this host's failure domain.
    std::set<std::uint32_t> promptSenders;   ///< Hashes of the hosts at the last heartbeat.
    std::uint64_t nextMemoryRequestId = 1;
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> memoryRequests;
    std::uint64_t nextProbe = 0; ///< Counts probes; selects the servers in turn.
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> probes;
    std::uint64_t registeredEra = 0; ///< Latest era in which the host entry was written again.
    std::optional<TimePoint> lastLinkCheck;
    TimePoint crashNoticesRepeatedAt;
    std::size_t crashNoticeTurn = 0; ///< Index of the open link that is next.
    int silentLinkChecks = 0;        ///< Checks in a row in which most peer links were silent.
    bool shuttingDown = false;
    bool shutdownDone = false; ///< All requests have ended.
    bool registered = false;
    std::function<void()> shutdownFinished;
    TimePoint shutdownDeadline;
    std::optional<TimePoint> controllerTimerDue;
    EventLoop::TimerHandle controllerTimer;
    EventLoop::TimerHandle registrationTimer;
    EventLoop::TimerHandle silenceReplyTimer;
    EventLoop::TimerHandle objectRequestTimer;
    EventLoop::TimerHandle domainTimer;
    EventLoop::TimerHandle drainTimer;
    EventLoop::TimerHandle suspectTimer;
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); ///< False for callbacks that run after destruction.
};

} // namespace dotterel
