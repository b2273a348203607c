#pragma once

#include "coordination/membership.h"
#include "core/prometheus_metrics.h"
#include "core/random_source.h"
#include "entry_host/collection_feed.h"
#include "entry_host/gateway_attempts.h"
#include "entry_host/operator_api.h"
#include "entry_host/peer_agent.h"
#include "entry_host/peer_mesh.h"
#include "entry_host/prompt_news_channel.h"
#include "gateway/host_entries.h"
#include "gateway/host_entry_reconciler.h"
#include "state/settings.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace dotterel {

/// One entry host as a gateway: joins forwarding decisions to the loop, the network, the store and
/// the other hosts.
class GatewayHost
    : private HttpCallHandler
    , private ForwardEffects
    , private PeerListener
    , private PeerAgentListener
    , private OperatorTarget
{
public:
    /// Binds the host's addresses; \a readinessPath is where the balancer asks. Throws
    /// std::runtime_error if an address cannot be bound.
    GatewayHost(EventLoop &loop, const Settings &settings, Incarnation incarnation,
                const GatewayProtocol &protocol, CollectionStore &store, std::string readinessPath,
                EventLog &log);
    ~GatewayHost() override;

    /// Begins a graceful shutdown; \a finished is called when every request has ended.
    void beginShutdown(std::function<void()> finished);

    /// Takes over what may change while the host runs.
    void applySettings(const Settings &changed);

    /// Addresses in use.
    Endpoint callers() const { return this->server.endpoint(); }
    Endpoint operators() const { return this->operatorApi.endpoint(); }
    Endpoint readiness() const { return this->readinessServer.endpoint(); }

    /// Returns true while callers should be sent to this host.
    bool ready() const { return this->isReady(); }

private:
    // HttpCallHandler
    void onHttpRequest(HttpCallId call, HttpHead &&head,
                       std::shared_ptr<const std::string> body) override;
    void onHttpPeerGone(HttpCallId call) override;
    void onHttpDrained(HttpCallId call) override;
    void onHttpRejected(int status) override;

    // ForwardEffects
    void sendAttempt(ForwardAttemptId attempt, const HttpRequest &request) override;
    void cancelAttempt(ForwardAttemptId attempt) override;
    void pauseAttempt(ForwardAttemptId attempt, bool paused) override;
    void orderMemory(const MemoryOrder &order) override;
    void answer(HttpCallId call, int status, const HttpHeaders &headers,
                std::string_view body) override;
    void startAnswer(HttpCallId call, int status, const HttpHeaders &headers,
                     std::optional<std::uint64_t> length) override;
    std::size_t sendPart(HttpCallId call, std::string_view bytes) override;
    void endAnswer(HttpCallId call) override;
    void abortAnswer(HttpCallId call) override;
    void tellPrompt(const PromptUpdate &item) override;
    void tellCrash(const CrashNotice &notice) override;

    // PeerListener
    void onPeerLinked(std::uint64_t link) override;
    void onPeerMessage(std::uint64_t link, const PeerMessage &message) override;

    // PeerAgentListener
    void onHostList(const std::vector<ListedHost> &hosts) override;
    void onServerNotice(const ServerNotice &notice) override;
    void beforeHeartbeat() override;

    // OperatorTarget
    bool isReady() const override;
    HostStatus status() const override;
    void drain() override;

    PeerLocality placeOf(std::uint64_t link) const;
    void removeEntry(const HostId &host);
    void restoreEntry(const MemberRecord &member);
    CollectionFeed *feedOf(std::uint8_t collection);
    void onConfiguration(const std::vector<CollectedObject> &news);
    void onServers(const std::vector<CollectedObject> &news, bool mayHaveLapsed);
    void onPromptNews(const PromptUpdateBatch &news);
    void dispatchedElsewhere(const PromptUpdateBatch &news, const PromptUpdate &item);
    void noteEvidence(std::uint32_t server, AttemptOutcome evidence);
    void addPrompt(std::uint32_t server, const EnginePrompt &prompt);
    const EngineProfile *engineOf(const ServerId &server) const;
    void registerSelf();
    void askPeers();
    void chooseFollowers(const std::vector<MemberRecord> &live);
    void armTimer();
    void finishShutdownIfIdle();
    HttpServerLimits serverLimits() const;

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
    PromptPlacement prompts;
    ServicePlacement services;
    RetryAllowance retries;
    CrashGuard crashes;
    ForwardController controller;
    KeptHttpClient client;
    GatewayAttempts attempts;
    KeptHttpServer server;
    Membership membership;
    PeerMesh mesh;
    CollectionHostList hostList;
    HostEntryReconciler entryKeeper;
    PeerAgent agent;
    PromptNewsChannel news;
    CollectionFeed configurationFeed;
    CollectionFeed serverFeed;
    HttpServer readinessServer;
    OperatorApi operatorApi;
    std::unordered_map<std::uint32_t, ServerId> serversByHash;
    std::set<HostId> nearHosts;      ///< Live hosts of this failure domain.
    std::set<std::uint32_t> senders; ///< Hosts whose prompts are known, by hash.
    std::uint64_t nextMemoryCall = 1;
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> memoryCalls;
    bool shuttingDown = false;
    bool registered = false;
    std::function<void()> shutdownFinished;
    TimePoint shutdownEnds;
    std::optional<TimePoint> armedFor;
    EventLoop::TimerHandle callTimer;
    EventLoop::TimerHandle registerTimer;
    EventLoop::TimerHandle askTimer;
    EventLoop::TimerHandle drainTimer;
};

} // namespace dotterel
