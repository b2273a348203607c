#pragma once

#include "coordination/admission.h"
#include "coordination/backend_directory.h"
#include "coordination/load_estimate.h"
#include "coordination/placement.h"
#include "coordination/placement_settings.h"
#include "coordination/prefix_index.h"
#include "core/random_source.h"

#include <map>
#include <unordered_map>

namespace dotterel {

/// Chooses the server with the lowest cost in predicted time to the first token and in delay of
/// other requests. A prediction counts only the work that runs before the request, as known from
/// the dispatches of this host and its peers and from load reports. Engines receive a priority that
/// favours short prompts and ages with waiting time, so that long prompts meet their deadline.
/// Refuses requests that cannot meet their deadline.
class WorkAheadPlacement : public Placement
{
public:
    /// \a sharedTimeOffsetMs is added to the monotonic time of this process, in milliseconds, to
    /// obtain a time that is common to all hosts, such as that since the Unix epoch.
    WorkAheadPlacement(const BackendDirectory &directory, RandomSource &random,
                       const PlacementSettings &settings, const HostIdentity &self,
                       std::int64_t sharedTimeOffsetMs);

    void applyConfiguration(const Configuration &configuration) override;
    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;
    void onDispatchNews(const DispatchUpdate &news, TimePoint now) override;
    bool hasDispatchNews() const override { return !this->pendingNews.events.empty(); }
    DispatchUpdate takeDispatchNews() override;

private:
    struct Candidate
    {
        const BackendServer *server = nullptr;
        double firstTokenSeconds = 0; ///< Predicted time to the first token.
        double cost = 0;              ///< Weighted delay of this and other requests.
    };

    /// The part of a prompt that one server processes.
    struct PromptPart
    {
        ServerId server;
        std::uint64_t sequence = 0;
    };

    /// Usage charged to a workspace for a dispatch.
    struct UsageCharge
    {
        WorkspaceHash workspace = 0;
        double seconds = 0;
        TimePoint chargedAt;
    };

    struct RunningAttempt
    {
        std::vector<PromptPart> parts;
        std::uint64_t partTokens = 0;
        bool receivedFirstToken = false;
        UsageCharge charge;
    };

    struct PeerAttempt
    {
        ServerId server;
        UsageCharge charge;
        bool receivedFirstToken = false;
    };

    struct PeerState
    {
        std::map<std::uint64_t, PeerAttempt> attempts; ///< By sequence; not known to have ended.
    };

    LoadEstimate &loadEstimate(const ServerId &server);
    std::size_t partCount(std::uint64_t tokens) const;
    double waitLimitFactor() const;
    double allowedWaitSeconds(double seconds, const PlacementQuery &query, TimePoint now) const;
    std::vector<Candidate> rankCandidates(const std::vector<const BackendServer *> &servers,
                                          const PlacementQuery &query, std::int64_t priority,
                                          TimePoint now);

    /// Gives servers without a measured speed the average of the measured ones. Otherwise the first
    /// server that is measured as fast would receive all requests.
    void applyAverageSlowdown(const std::vector<const BackendServer *> &servers);

    Candidate evaluateCandidate(const BackendServer &server, const PlacementQuery &query,
                                std::int64_t priority, double shorterShare, TimePoint now);
    double shorterUtilisation(const std::vector<const BackendServer *> &servers,
                              std::uint64_t tokens, TimePoint now);
    void sampleCandidates(std::vector<const BackendServer *> &servers);
    void refundCharge(const UsageCharge &charge, TimePoint now);
    void queueDispatchEvent(DispatchEventKind kind, const PromptPart &part);
    std::int64_t sharedTimeMs(TimePoint now) const;

    const BackendDirectory &directory;
    RandomSource &random;
    PlacementSettings settings;
    std::string failureDomain;
    std::int64_t sharedTimeOffsetMs;
    Admission admission;
    PrefixIndex prefixIndex;
    std::map<ServerId, LoadEstimate> loadEstimates;
    std::unordered_map<AttemptId, RunningAttempt> runningAttempts;
    std::unordered_map<std::uint32_t, PeerState> peers;
    DispatchUpdate pendingNews;
    std::unordered_map<std::uint32_t, ServerId> serversByHash;
    std::uint64_t nextSequence = 1;
};

} // namespace dotterel
