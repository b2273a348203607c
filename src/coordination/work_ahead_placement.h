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

/// Chooses the server with the earliest predicted first token, counting only the work that runs
/// before the request there: what this host and its peers dispatched and what reports add.
/// Engines get a priority that puts short prompts first and rises with the time waited, so that
/// long prompts end in their deadline. Refuses what cannot meet its deadline.
class WorkAheadPlacement : public Placement
{
public:
    /// \a timelineOffset turns this process's monotonic time into milliseconds that all hosts
    /// share, such as those since the Unix epoch.
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
    void onNews(const DispatchNews &news, TimePoint now) override;
    bool hasNews() const override { return !this->news.events.empty(); }
    DispatchNews takeNews() override;

private:
    struct Candidate
    {
        const BackendServer *server = nullptr;
        double seconds = 0; ///< Predicted until the first token.
        double cost = 0;    ///< To this request and to those that it delays.
    };

    struct Part
    {
        ServerId server;
        std::uint64_t sequence = 0;
    };

    /// What a workspace was charged for a dispatch.
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
        std::map<std::uint64_t, PeerWork> works; ///< By sequence, those not known to end.
    };

    LoadEstimate &estimate(const ServerId &server);
    std::size_t partCount(std::uint64_t tokens) const;
    double patience() const;
    double allowedWait(double seconds, const PlacementQuery &query, TimePoint now) const;
    std::vector<Candidate> rank(const std::vector<const BackendServer *> &servers,
                                const PlacementQuery &query, std::int64_t priority, TimePoint now);

    /// Servers that have not been measured count as fast as the measured ones on average; otherwise
    /// the first one that turns out to be fast would get everything.
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
