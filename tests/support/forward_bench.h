#pragma once

#include "core/prometheus_metrics.h"
#include "gateway/forward_controller.h"
#include "support/plain_gateway_protocol.h"

#include <string>
#include <vector>

namespace dotterel::support {

/// What a caller got.
struct CallerOutcome
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool ended = false;
    bool aborted = false;
};

/// An attempt that the controller sent.
struct SentAttempt
{
    ForwardAttemptId id = 0;
    HttpRequest request;
    bool cancelled = false;

    /// Value of header \a name of the request.
    std::string header(const char *name) const;
};

/// Drives a ForwardController in virtual time, with servers that answer as a test says.
class ForwardBench : private ForwardEffects
{
public:
    ForwardBench();

    /// Adds a server of \a pool.
    void addServer(const ServerId &id, const std::string &pool);

    /// Sends a request to \a target and returns its call. \a headers come on top of Host and Id.
    HttpCallId request(const std::string &target, const HttpHeaders &headers = {},
                       const std::string &body = "body");

    /// Answers the attempt at \a index whole.
    void serverAnswers(std::size_t index, int status, const HttpHeaders &headers,
                       const std::string &body);

    /// Lets time pass and runs what is due.
    void pass(Duration time);

    /// Reports the loss of the attempt at \a index.
    void fail(std::size_t index, HttpFailureKind kind, Verdict verdict, bool kept = false);

    CallerOutcome &outcome(HttpCallId call) { return this->outcomes[call]; }

    TimePoint now{std::chrono::seconds(100)};
    PlainGatewayProtocol protocol;
    NullEventLog log;
    PrometheusMetrics metrics;
    SeededRandom random{7};
    GatewayConfiguration configuration;
    ServerFleet fleet;
    PromptPlacement prompts;
    ServicePlacement services;
    RetryAllowance retries;
    CrashGuard crashes;
    std::vector<SentAttempt> sent;
    std::vector<MemoryOrder> memoryOrders;
    std::vector<PromptUpdate> news;
    std::vector<CrashNotice> crashNotices;
    std::size_t unsent = 0; ///< What callers seem to leave unread.
    std::vector<bool> pauses;
    ForwardController controller;

    /// Puts `configuration` into force.
    void applyConfiguration();

private:
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

    HttpCallId nextCall = 1;
    std::map<HttpCallId, CallerOutcome> outcomes;
};

/// The engines of the users' sheets: 16 places, 405,000 tokens.
EngineProfile sheetEngine();

} // namespace dotterel::support
