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
    /// \a timelineOffset is added to the monotonic time of this process, in milliseconds, to obtain
    /// a time that is common to all hosts, such as that since the Unix epoch.
    WorkAheadPlacement(const BackendDirectory &directory, RandomSource &random,
                       const PlacementSettings &settings, const HostIdentity &self,
                       std::int64_t timelineOffset);

    void applyConfiguration(const Configuration &configuration) override;
    tl::expected<PlacementChoice, Failure> choose(const PlacementQuery &query,
                                                  TimePoint now) override;
    void onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                      const PlacementChoice &choice, TimePoint now) override;
    void onFirstToken(const AttemptId &attempt, TimePoint now) override;
    void onEnded(const AttemptId &attempt, TimePoint now) override;
    void onLoadReport(const ServerId &server, const LoadReport &report, TimePoint now) override;
    void onDispatchNews(const DispatchNews &news, TimePoint now) override;
    bool hasDispatchNews() const override { return !this->news.events.empty(); }
    DispatchNews takeDispatchNews() override;

private:
    struct Candidate
    {
        const BackendServer *server = nullptr;
        double seconds = 0; ///< Predicted time to the first token.
        double cost = 0;    ///< Weighted delay of this and other requests.
    };

    /// The part of a prompt that one server processes.
    struct Part
    {
        ServerId server;
        std::uint64_t sequence = 0;
    };

    /// Usage charged to a workspace for a dispatch.
    struct Charge
    {
        WorkspaceHash workspace = 0;
        double seconds = 0;
        TimePoint at;
    };

    struct Running
    {
        std::vector<Part> parts;
        std::uint64_t partTokens = 0;
        bool firstToken = false;
        Charge charge;
    };

    struct PeerWork
    {
        ServerId server;
        Charge charge;
        bool firstToken = false;
    };

    struct Peer
    {
        std::map<std::uint64_t, PeerWork> works; ///< By sequence; not known to have ended.
    };

    LoadEstimate &estimate(const ServerId &server);
    std::size_t partCount(std::uint64_t tokens) const;
    double patience() const;
    double allowedWait(double seconds, const PlacementQuery &query, TimePoint now) const;
    std::vector<Candidate> rank(const std::vector<const BackendServer *> &servers,
                                const PlacementQuery &query, std::int64_t priority, TimePoint now);

    /// Gives servers without a measured speed the average of the measured ones. Otherwise the first
    /// server that is measured as fast would receive all requests.
    void assumeTypicalSlowness(const std::vector<const BackendServer *> &servers);

    Candidate assess(const BackendServer &server, const PlacementQuery &query,
                     std::int64_t priority, double shorter, TimePoint now);
    double shorterUtilisation(const std::vector<const BackendServer *> &servers,
                              std::uint64_t tokens, TimePoint now);
    void keepSample(std::vector<const BackendServer *> &servers);
    void refund(const Charge &charge, TimePoint now);
    void tell(DispatchEventKind kind, const Part &part);
    std::int64_t sharedMilliseconds(TimePoint now) const;

    const BackendDirectory &directory;
    RandomSource &random;
    PlacementSettings settings;
    std::string failureDomain;
    std::int64_t timelineOffset;
    Admission admission;
    PrefixIndex prefixes;
    std::map<ServerId, LoadEstimate> estimates;
    std::unordered_map<AttemptId, Running> running;
    std::unordered_map<std::uint32_t, Peer> peers;
    DispatchNews news;
    std::unordered_map<std::uint32_t, ServerId> serversByHash;
    std::uint64_t nextSequence = 1;
};

} // namespace dotterel
