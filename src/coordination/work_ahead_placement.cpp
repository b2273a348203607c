#include "coordination/work_ahead_placement.h"

#include "coordination/placement_candidates.h"
#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

constexpr double AgingFactor = 4; ///< Times its prefill that a prompt is overtaken.
/// Times that wait, beyond which a prompt is refused: more patience costs short prompts.
constexpr double LeastPatience = 2;
constexpr double PatienceRange = 1;      ///< Added at full weight on the first token.
constexpr double LeastWaitSeconds = 0.5; ///< Allowed to any prompt before it outranks newer ones.
constexpr double LeastOwnSeconds = 0.001;
constexpr double SlackMargin = 1.2;
constexpr double TypicalSeconds = 0.2; ///< A first token later by this counts as one slowdown.
constexpr double MostShorterUtilisation = 0.9;
constexpr Duration RefundWindow = std::chrono::milliseconds(100);
constexpr std::uint64_t SequencesKeptOfPeer = 4'096;

} // namespace

WorkAheadPlacement::WorkAheadPlacement(const BackendDirectory &directory, RandomSource &random,
                                       const PlacementSettings &settings, const HostIdentity &self,
                                       std::int64_t timelineOffset)
    : directory(directory)
    , random(random)
    , settings(settings)
    , failureDomain(self.failureDomain)
    , timelineOffset(timelineOffset)
    , admission(this->settings)
    , prefixes(settings.prefixBlocks)
{
    this->news.sender = hash32(self.host + '\0' + std::to_string(self.incarnation));
}

void WorkAheadPlacement::applyConfiguration(const Configuration &configuration)
{
    this->settings.weights = configuration.policy;
    this->admission.applyConfiguration(configuration);
    this->serversByHash.clear();
    for (const auto &[id, server] : configuration.servers)
        this->serversByHash[hash32(id)] = id;
    for (auto entry = this->estimates.begin(); entry != this->estimates.end();)
        entry = configuration.servers.count(entry->first) == 0 ? this->estimates.erase(entry)
                                                               : std::next(entry);
}

tl::expected<PlacementChoice, Failure> WorkAheadPlacement::choose(const PlacementQuery &query,
                                                                  TimePoint now)
{
    auto servers = placementCandidates(this->directory, query, now);
    if (!servers)
        return tl::unexpected(servers.error());
    const double seconds = this->settings.prefill.seconds(static_cast<double>(query.promptTokens));
    const std::size_t parts = std::min(this->partCount(query.promptTokens), servers->size());
    const double allowed = this->allowedWait(seconds / static_cast<double>(parts), query, now);
    // Servers that this request alone must avoid still count.
    const auto capacity = static_cast<double>(this->directory.usable(query.pool, now).size());
    if (this->admission.isOverShare(workspaceHash(query.workspace), capacity, now))
        return tl::unexpected(Admission::overShare());
    PlacementChoice choice;
    choice.priority = this->sharedMilliseconds(now + fromSeconds(allowed));
    if (parts == 1)
        this->keepSample(*servers);
    const std::vector<Candidate> ranked = this->rank(*servers, query, choice.priority, now);
    choice.server = ranked.front().server->id;
    for (std::size_t i = 1; i < parts; ++i)
        choice.others.push_back(ranked[i].server->id);
    double predicted = 0;
    for (std::size_t i = 0; i < parts; ++i)
        predicted = std::max(predicted, ranked[i].seconds);
    choice.predictedFirstToken = fromSeconds(predicted);
    const std::optional<Failure> refusal =
            this->admission.check(query, predicted, allowed * this->patience(), now);
    if (refusal)
        return tl::unexpected(*refusal);
    return choice;
}

void WorkAheadPlacement::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                                      const PlacementChoice &choice, TimePoint now)
{
    const std::size_t parts = 1 + choice.others.size();
    Running entry;
    entry.partTokens = query.promptTokens / parts;
    // Each part sees on average the same context, so that the parts take equally long.
    const std::uint64_t context = (query.promptTokens - entry.partTokens) / 2;
    const double seconds = this->settings.prefill.seconds(static_cast<double>(entry.partTokens),
                                                          static_cast<double>(context));
    std::vector<ServerId> servers = choice.others;
    servers.insert(servers.begin(), choice.server);
    for (const ServerId &server : servers) {
        const Part part{server, this->nextSequence++};
        entry.parts.push_back(part);
        this->estimate(server).add(
                {{0, part.sequence}, entry.partTokens, context, choice.priority, seconds}, now);
        if (this->settings.shareNews)
            this->news.events.push_back({DispatchEventKind::Dispatched, part.sequence,
                                         hash32(server), entry.partTokens, context, choice.priority,
                                         workspaceHash(query.workspace)});
    }
    entry.charge = {workspaceHash(query.workspace), seconds * static_cast<double>(parts), now};
    this->admission.onDispatched(entry.charge.workspace, entry.charge.seconds, now);
    this->running[attempt] = std::move(entry);
    if (this->settings.prefixAffinity && parts == 1)
        this->prefixes.note(query.prefixHashes, choice.server);
}

void WorkAheadPlacement::onFirstToken(const AttemptId &attempt, TimePoint now)
{
    const auto found = this->running.find(attempt);
    if (found == this->running.end())
        return;
    found->second.firstToken = true;
    for (const Part &part : found->second.parts) {
        this->estimate(part.server).firstToken({0, part.sequence}, now);
        this->tell(DispatchEventKind::FirstToken, part);
    }
}

void WorkAheadPlacement::onEnded(const AttemptId &attempt, TimePoint now)
{
    const auto found = this->running.find(attempt);
    if (found == this->running.end())
        return;
    if (!found->second.firstToken)
        this->refund(found->second.charge, now);
    const bool heldMemory = found->second.partTokens > ShortPromptTokens;
    for (const Part &part : found->second.parts) {
        this->estimate(part.server).end({0, part.sequence}, now);
        // The first token of a short prompt already removed it at the peers.
        if (heldMemory || !found->second.firstToken)
            this->tell(DispatchEventKind::Ended, part);
    }
    this->running.erase(found);
}

void WorkAheadPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                      TimePoint now)
{
    this->estimate(server).report(report, now);
}

void WorkAheadPlacement::onNews(const DispatchNews &received, TimePoint now)
{
    if (received.sender == this->news.sender)
        return;
    const std::uint64_t owner = received.sender;
    Peer &peer = this->peers[received.sender];
    for (const DispatchEvent &event : received.events) {
        const WorkKey key{owner, event.sequence};
        if (event.kind == DispatchEventKind::Dispatched) {
            const auto known = this->serversByHash.find(event.server);
            if (known == this->serversByHash.end())
                continue;
            const double seconds =
                    this->settings.prefill.seconds(static_cast<double>(event.promptTokens),
                                                   static_cast<double>(event.contextTokens));
            this->estimate(known->second)
                    .add({key, event.promptTokens, event.contextTokens, event.priority, seconds},
                         now);
            this->admission.onDispatched(event.workspace, seconds, now);
            peer.works[event.sequence] = {known->second, {event.workspace, seconds, now}, false};
            if (peer.works.size() > SequencesKeptOfPeer)
                peer.works.erase(peer.works.begin());
            continue;
        }
        const auto work = peer.works.find(event.sequence);
        if (work == peer.works.end())
            continue;
        LoadEstimate &load = this->estimate(work->second.server);
        if (event.kind == DispatchEventKind::FirstToken) {
            work->second.firstToken = true;
            load.firstToken(key, now);
            continue;
        }
        if (!work->second.firstToken)
            this->refund(work->second.charge, now);
        load.end(key, now);
        peer.works.erase(work);
    }
}

void WorkAheadPlacement::refund(const Charge &charge, TimePoint now)
{
    // A server that refuses or cannot be reached does no work; one that is cancelled later does.
    if (now - charge.at < RefundWindow)
        this->admission.onDispatched(charge.workspace, -charge.seconds, now);
}

DispatchNews WorkAheadPlacement::takeNews()
{
    DispatchNews taken = this->news;
    this->news.events.clear();
    return taken;
}

LoadEstimate &WorkAheadPlacement::estimate(const ServerId &server)
{
    return this->estimates.try_emplace(server, this->settings).first->second;
}

std::size_t WorkAheadPlacement::partCount(std::uint64_t tokens) const
{
    return groupSize(tokens, this->settings.memoryTokens, this->settings.longMemoryShare,
                     this->settings.partMemoryShare);
}

double WorkAheadPlacement::patience() const
{
    const PolicyWeights &weights = this->settings.weights;
    const double sum = weights.shortSlowdown + weights.firstToken;
    return LeastPatience + (sum > 0 ? PatienceRange * weights.firstToken / sum : 0);
}

double WorkAheadPlacement::allowedWait(double seconds, const PlacementQuery &query,
                                       TimePoint now) const
{
    const double decode =
            static_cast<double>(query.maxTokens) * toSeconds(this->settings.tokenInterval);
    const double slack = toSeconds(query.deadline - now) - decode - seconds * SlackMargin;
    return std::max(0.0, std::min(slack, LeastWaitSeconds + AgingFactor * seconds));
}

std::vector<WorkAheadPlacement::Candidate>
WorkAheadPlacement::rank(const std::vector<const BackendServer *> &servers,
                         const PlacementQuery &query, std::int64_t priority, TimePoint now)
{
    std::vector<Candidate> ranked;
    std::vector<Candidate> stuck;
    const double shorter = this->shorterUtilisation(servers, query.promptTokens, now);
    this->assumeTypicalSlowness(servers);
    const std::size_t offset = this->random.below(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const BackendServer *server = servers[(offset + i) % servers.size()];
        const Candidate candidate = this->assess(*server, query, priority, shorter, now);
        (this->estimate(server->id).stuck(now) ? stuck : ranked).push_back(candidate);
    }
    const auto earlier = [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    };
    std::stable_sort(ranked.begin(), ranked.end(), earlier);
    std::stable_sort(stuck.begin(), stuck.end(), earlier);
    ranked.insert(ranked.end(), stuck.begin(), stuck.end());
    return ranked;
}

void WorkAheadPlacement::assumeTypicalSlowness(const std::vector<const BackendServer *> &servers)
{
    double sum = 0;
    std::size_t measured = 0;
    for (const BackendServer *server : servers) {
        const LoadEstimate &load = this->estimate(server->id);
        if (!load.isMeasured())
            continue;
        sum += load.slowness();
        ++measured;
    }
    if (measured == 0)
        return;
    for (const BackendServer *server : servers)
        this->estimate(server->id).assumeSlowness(sum / static_cast<double>(measured));
}

WorkAheadPlacement::Candidate WorkAheadPlacement::assess(const BackendServer &server,
                                                         const PlacementQuery &query,
                                                         std::int64_t priority, double shorter,
                                                         TimePoint now)
{
    LoadEstimate &load = this->estimate(server.id);
    const std::size_t parts = this->partCount(query.promptTokens);
    const std::uint64_t tokens = query.promptTokens / parts;
    const std::uint64_t matched =
            this->settings.prefixAffinity && parts == 1
                    ? this->prefixes.matchedBlocks(query.prefixHashes, server.id)
                              * this->settings.prefixBlockTokens
                    : 0;
    // A hit is worth the recomputation that it saves, and no more.
    const auto cached = static_cast<double>(std::min(matched, tokens));
    const double work = (this->settings.prefill.seconds(static_cast<double>(query.promptTokens))
                         - this->settings.prefill.seconds(cached))
                        / static_cast<double>(parts);
    const double alone = load.waitSeconds(tokens, priority, now) + work * load.slowness();
    const double latency = server.failureDomain == this->failureDomain
                                   ? 0
                                   : 2 * toSeconds(this->settings.crossDomainLatency);
    const WorkBehind behind = load.behind(tokens, priority, now);
    const PolicyWeights &weights = this->settings.weights;
    // Plain services have no prompt, and their calls count alike.
    const double own =
            std::max(LeastOwnSeconds, this->settings.prefill.seconds(static_cast<double>(tokens)));
    Candidate candidate;
    candidate.server = &server;
    candidate.seconds = alone / (1 - shorter) + latency;
    // Both terms count the request's own delay and the delay that it brings to others.
    candidate.cost =
            weights.shortSlowdown * (candidate.seconds / own + work * behind.inverseSeconds)
            + weights.firstToken * (candidate.seconds + work * behind.count) / TypicalSeconds;
    return candidate;
}

double WorkAheadPlacement::shorterUtilisation(const std::vector<const BackendServer *> &servers,
                                              std::uint64_t tokens, TimePoint now)
{
    double sum = 0;
    for (const BackendServer *server : servers)
        sum += this->estimate(server->id).shorterUtilisation(tokens, now);
    return std::min(sum / static_cast<double>(servers.size()), MostShorterUtilisation);
}

void WorkAheadPlacement::keepSample(std::vector<const BackendServer *> &servers)
{
    const std::size_t count = this->settings.candidates;
    if (count == 0 || servers.size() <= count)
        return;
    for (std::size_t i = 0; i < count; ++i)
        std::swap(servers[i], servers[i + this->random.below(servers.size() - i)]);
    servers.resize(count);
}

void WorkAheadPlacement::tell(DispatchEventKind kind, const Part &part)
{
    if (this->settings.shareNews)
        this->news.events.push_back({kind, part.sequence, 0, 0, 0, 0, 0});
}

std::int64_t WorkAheadPlacement::sharedMilliseconds(TimePoint now) const
{
    return now.time_since_epoch().count() / 1'000 + this->timelineOffset;
}

} // namespace dotterel
