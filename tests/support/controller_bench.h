#pragma once

#include "coordination/request_controller.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::support {

/// Takes the first usable server that is not excluded; tests set what it predicts.
class FirstPlacement : public Placement
{
public:
    explicit FirstPlacement(const BackendDirectory &directory)
        : directory(directory)
    {}

    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &, const PlacementQuery &, const PlacementChoice &,
                      TimePoint) override
    {}
    void onFirstToken(const AttemptId &, TimePoint) override {}
    void onEnded(const AttemptId &, TimePoint) override {}
    void onLoadReport(const ServerId &, const LoadReport &, TimePoint) override {}

    Duration predicted = Duration::zero();

private:
    const BackendDirectory &directory;
};

/// What a caller has got.
struct CallerView
{
    std::string text;
    bool whole = false;
    std::optional<ServiceAnswer> answer;
    std::optional<Failure> failure;
    int ends = 0; ///< Final answers; more than one is an error.
};

/// Counts refusals and retries.
class CountingMetrics : public NullMetrics
{
public:
    void countRefusal(Reason reason) override { ++this->refusals[reason]; }
    void countRetry(RetryReason reason) override { ++this->retries[reason]; }
    void count(Counter counter, std::uint64_t amount) override
    {
        this->counters[counter] += amount;
    }

    std::map<Reason, int> refusals;
    std::map<RetryReason, int> retries;
    std::map<Counter, std::uint64_t> counters;
};

/// A RequestController in virtual time whose effects are kept. Classes are "question" (10 s),
/// "review" (120 s) and "order" (10 s, not idempotent); servers are "s0", "s1", ... of pool "model"
/// and one server "o0" of pool "orders".
class ControllerBench : public RequestEffects
{
public:
    struct Sent
    {
        AttemptId attempt;
        ServerId server;
        std::uint64_t resumeAt = 0;
    };

    explicit ControllerBench(std::size_t servers, const RequestLimits &limits = {});

    /// Submits request \a id of \a requestClass.
    void submit(const RequestId &id, const std::string &requestClass = "question",
                std::uint64_t tokens = 1'000, const std::string &body = "body");

    /// Lets \a time pass and calls every timer that falls due.
    void pass(Duration time);

    /// The last attempt of \a id that was sent.
    const Sent &last(const RequestId &id) const;

    void token(const AttemptId &attempt, std::uint64_t index);
    void end(const AttemptId &attempt, std::uint64_t count);
    void fail(const AttemptId &attempt, Verdict verdict, Reason reason,
              ServerFault fault = ServerFault::None);

    void sendAttempt(const AttemptRequest &order) override;
    void cancelAttempt(const AttemptId &attempt) override { this->cancelled.push_back(attempt); }
    void pauseAttempt(const AttemptId &attempt, bool paused) override
    {
        this->paused[attempt] = paused;
    }
    void broadcastCrashNotice(const CrashNotice &notice) override
    {
        this->notices.push_back(notice);
    }
    void claimOrder(const OrderClaim &claim) override { this->claims.push_back(claim); }
    void recordOrderAnswer(const OrderClaim &, const ServiceAnswer &) override {}
    void releaseOrder(const OrderClaim &claim) override { this->released.push_back(claim); }
    void deliverText(const RequestId &request, const std::string &text) override;
    void finishAnswer(const RequestId &request, std::uint64_t tokens) override;
    void deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer) override;
    void refuse(const RequestId &request, const Failure &failure) override;

    NullEventLog log;
    CountingMetrics metrics;
    BackendDirectory directory{this->log, this->metrics};
    FirstPlacement placement{this->directory};
    CrashGuard crashGuard{{}, this->metrics, this->log};
    RequestController controller;
    TimePoint now{std::chrono::seconds(1'000)};
    std::vector<Sent> sent;
    std::vector<AttemptId> cancelled;
    std::map<AttemptId, bool> paused;
    std::vector<CrashNotice> notices;
    std::vector<OrderClaim> claims;
    std::vector<OrderClaim> released;
    std::map<RequestId, CallerView> callers;
};

/// The text of token \a index in the answer of \a request.
std::string tokenText(const RequestId &request, std::uint64_t index);

} // namespace dotterel::support
