#pragma once

#include "core/prometheus_metrics.h"
#include "gateway/forward_controller.h"
#include "support/plain_gateway_protocol.h"

#include <string>
#include <vector>

namespace dotterel::support {

/// Response as received by a caller.
struct CallerOutcome
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool ended = false;   ///< The response was completed.
    bool aborted = false; ///< The response was broken off.
};

/// An attempt that the controller sent to a server.
struct SentAttempt
{
    ForwardAttemptId id = 0;
    HttpRequest request;
    bool cancelled = false;

    /// Returns the value of the request header \a name; empty if it is missing.
    std::string header(const char *name) const;
};

/// Drives a ForwardController in virtual time and records its effects. A test plays the servers: it
/// decides how each attempt is answered.
class ForwardBench : private ForwardEffects
{
public:
    /// \a hostHash differs between benches that share servers.
    explicit ForwardBench(std::uint32_t hostHash = 1, const ServerFleetTimings &timings = {});

    /// Registers a server of \a pool.
    void addServer(const ServerId &id, const std::string &pool);

    /// Sends a caller request for \a target and returns its id. \a headers are added to Host, Id
    /// and, unless they contain one, Key.
    HttpCallId request(const std::string &target, const HttpHeaders &headers = {},
                       const std::string &body = "body");

    /// Sends a complete response to the attempt sent as number \a index.
    void respond(std::size_t index, int status, const HttpHeaders &headers,
                 const std::string &body);

    /// Advances the time by \a duration and fires the timers that become due.
    void advanceTime(Duration duration);

    /// Reports that the attempt sent as number \a index failed; \a reusedConnection tells whether
    /// it used an idle connection that was kept open.
    void failAttempt(std::size_t index, HttpFailureKind kind, Verdict verdict,
                     bool reusedConnection = false);

    CallerOutcome &outcome(HttpCallId call) { return this->outcomes[call]; }

    TimePoint now{std::chrono::seconds(100)};
    PlainGatewayProtocol protocol;
    NullEventLog log;
    PrometheusMetrics metrics;
    SeededRandom random{7};
    GatewayConfiguration configuration;
    ServerFleet fleet;
    PromptPlacement promptPlacement;
    ServicePlacement servicePlacement;
    RetryBudget retryBudget;
    CrashGuard crashGuard;
    PromptPartGuard partGuard;
    ServiceReach reach;
    RelayPeers relayPeers;
    std::vector<SentAttempt> sentAttempts;
    std::vector<MemoryReservationRequest> reservationRequests;
    std::vector<ServerId> probedServers;
    std::vector<PromptUpdate> promptUpdates;
    std::vector<ServerLeavingNotice> leavingNotices;
    std::vector<ServerLimitNotice> limitNotices;
    std::vector<ServerWarmUpNotice> warmUpNotices;
    std::vector<RetryLending::AddressedAsk> retryAsks;
    std::vector<RetryLoan> retryLoans;
    std::vector<CrashNotice> crashNotices;
    bool grantsMemory = false;    ///< Engines reserve memory at once; otherwise the test answers.
    std::size_t queuedBytes = 0;  ///< Number of bytes reported as queued for a caller.
    std::vector<bool> pauseCalls; ///< Arguments of pauseAttempt(), in order.
    ForwardController controller;

    /// Passes `configuration` to the controller.
    void applyConfiguration();

private:
    void sendAttempt(ForwardAttemptId attempt, const HttpRequest &request) override;
    void cancelAttempt(ForwardAttemptId attempt) override;
    void pauseAttempt(ForwardAttemptId attempt, bool paused) override;
    void sendReservationRequest(const MemoryReservationRequest &request) override;
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

    HttpCallId nextCall = 1;
    std::map<HttpCallId, CallerOutcome> outcomes;
};

/// Engine profile with the values of the users' data sheets: batches of 16, memory for 405,000
/// tokens.
EngineProfile dataSheetEngine();

} // namespace dotterel::support
