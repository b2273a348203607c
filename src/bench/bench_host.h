#pragma once

#include "bench/bench_settings.h"
#include "bench/event_queue.h"
#include "coordination/request_controller.h"
#include "core/random_source.h"

#include <memory>

namespace dotterel::bench {

/// Carries out what the decisions of a BenchHost ask for.
class BenchHostEffects
{
public:
    virtual ~BenchHostEffects() = default;

    /// Sends \a order to the servers of \a choice.
    virtual void send(std::size_t host, const AttemptRequest &order,
                      const PlacementChoice &choice) = 0;
    virtual void cancel(std::size_t host, const AttemptId &attempt) = 0;
    virtual void finished(const RequestId &request) = 0;
    virtual void refused(const RequestId &request, const Failure &failure) = 0;
};

/// The decision classes of one entry host. Remembers each choice between the placement and the
/// dispatch, since an AttemptRequest names the first server only.
class BenchHost
    : private RequestEffects
    , private Placement
{
public:
    BenchHost(const Workload &workload, const std::string &policy, std::size_t number,
              std::uint64_t seed, BenchHostEffects &effects);

    RequestController &requests() { return this->controller; }
    Placement &placement() { return *this->inner; }

private:
    // Placement
    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;

    // RequestEffects
    void sendAttempt(const AttemptRequest &order) override;
    void cancelAttempt(const AttemptId &attempt) override;
    void pauseAttempt(const AttemptId & /*attempt*/, bool /*paused*/) override {}
    void claimOrder(const OrderClaim & /*claim*/) override {}
    void recordOrderAnswer(const OrderClaim & /*claim*/, const ServiceAnswer & /*answer*/) override
    {}
    void releaseOrder(const OrderClaim & /*claim*/) override {}
    void broadcastCrashNotice(const CrashNotice & /*notice*/) override {}
    void deliverText(const RequestId & /*request*/, const std::string & /*text*/) override {}
    void finishAnswer(const RequestId &request, std::uint64_t tokens) override;
    void deliverServiceAnswer(const RequestId & /*request*/,
                              const ServiceAnswer & /*answer*/) override
    {}
    void refuse(const RequestId &request, const Failure &failure) override;

    std::size_t number;
    HostIdentity self;
    BenchHostEffects &effects;
    NullEventLog log;
    NullMetrics metrics;
    SeededRandom random;
    BackendDirectory directory;
    std::unique_ptr<Placement> inner;
    PlacementChoice lastChoice;
    CrashGuard crashGuard;
    RequestController controller;
};

/// Returns the names that the bench gives.
std::string benchServerName(std::size_t server);
std::string benchFailureDomain(const Workload &workload, std::size_t number);

/// Name of the bench's only pool.
constexpr const char *BenchPool = "model";

/// Returns the request class of a prompt of \a tokens.
std::string benchRequestClass(std::uint64_t tokens);

} // namespace dotterel::bench
