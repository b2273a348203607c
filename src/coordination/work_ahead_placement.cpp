#include "coordination/work_ahead_placement.h"

#include "coordination/placement_candidates.h"
#include "core/hashing.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

/// Newer, shorter prompts may run first for this multiple of a prompt's own prefill time.
constexpr double MaxOvertakingFactor = 4;
/// A prompt is refused if its predicted wait exceeds this multiple of the allowed wait; a higher
/// limit would slow down short prompts.
constexpr double MinWaitLimitFactor = 2;
constexpr double WaitLimitFactorRange = 1;     ///< Added if all weight is on the first token.
constexpr double BaseAllowedWaitSeconds = 0.5; ///< Of any prompt, before it outranks newer ones.
constexpr double MinPrefillSeconds = 0.001;
constexpr double PrefillSlackFactor = 1.2;
/// First-token delay that costs as much as a slowdown of 1.
constexpr double FirstTokenScaleSeconds = 0.2;
constexpr double MaxShorterUtilisation = 0.9;
constexpr Duration RefundWindow = std::chrono::milliseconds(100);
constexpr std::uint64_t MaxTrackedAttemptsPerPeer = 4'096;

} // namespace

WorkAheadPlacement::WorkAheadPlacement(const BackendDirectory &directory, RandomSource &random,
                                       const PlacementSettings &settings, const HostIdentity &self,
                                       std::int64_t sharedTimeOffsetMs)
    : directory(directory)
    , random(random)
    , settings(settings)
    , failureDomain(self.failureDomain)
    , sharedTimeOffsetMs(sharedTimeOffsetMs)
    , admission(this->settings)
    , prefixIndex(settings.maxPrefixBlocks)
{
    this->pendingNews.senderHash = hash32(self.host + '\0' + std::to_string(self.incarnation));
}

void WorkAheadPlacement::applyConfiguration(const Configuration &configuration)
{
    this->settings.weights = configuration.policy;
    this->admission.applyConfiguration(configuration);
    this->serversByHash.clear();
    for (const auto &[id, server] : configuration.servers)
        this->serversByHash[hash32(id)] = id;
    for (auto entry = this->loadEstimates.begin(); entry != this->loadEstimates.end();)
        entry = configuration.servers.count(entry->first) == 0 ? this->loadEstimates.erase(entry)
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
    const double allowedSeconds =
            this->allowedWaitSeconds(seconds / static_cast<double>(parts), query, now);
    // Capacity includes the servers that are excluded only for this request.
    const auto capacity =
            static_cast<double>(this->directory.usableServers(query.pool, now).size());
    if (this->admission.isOverShare(workspaceHash(query.workspace), capacity, now))
        return tl::unexpected(Admission::overShareFailure());
    PlacementChoice choice;
    choice.priority = this->sharedTimeMs(now + fromSeconds(allowedSeconds));
    if (parts == 1)
        this->sampleCandidates(*servers);
    const std::vector<Candidate> ranked =
            this->rankCandidates(*servers, query, choice.priority, now);
    choice.server = ranked.front().server->id;
    for (std::size_t i = 1; i < parts; ++i)
        choice.additionalServers.push_back(ranked[i].server->id);
    double predictedSeconds = 0;
    for (std::size_t i = 0; i < parts; ++i)
        predictedSeconds = std::max(predictedSeconds, ranked[i].firstTokenSeconds);
    choice.predictedFirstToken = fromSeconds(predictedSeconds);
    const std::optional<Failure> failure = this->admission.checkDeadline(
            query, predictedSeconds, allowedSeconds * this->waitLimitFactor(), now);
    if (failure)
        return tl::unexpected(*failure);
    return choice;
}

void WorkAheadPlacement::onDispatched(const AttemptId &attempt, const PlacementQuery &query,
                                      const PlacementChoice &choice, TimePoint now)
{
    const std::size_t parts = 1 + choice.additionalServers.size();
    RunningAttempt runningAttempt;
    runningAttempt.partTokens = query.promptTokens / parts;
    // All parts are charged the average context, so that they have the same duration.
    const std::uint64_t contextTokens = (query.promptTokens - runningAttempt.partTokens) / 2;
    const double seconds = this->settings.prefill.seconds(
            static_cast<double>(runningAttempt.partTokens), static_cast<double>(contextTokens));
    std::vector<ServerId> servers = choice.additionalServers;
    servers.insert(servers.begin(), choice.server);
    for (const ServerId &server : servers) {
        const PromptPart part{server, this->nextSequence++};
        runningAttempt.parts.push_back(part);
        this->loadEstimate(server).onDispatched({{0, part.sequence},
                                                 runningAttempt.partTokens,
                                                 contextTokens,
                                                 choice.priority,
                                                 seconds},
                                                now);
        if (this->settings.shareDispatches)
            this->pendingNews.events.push_back({DispatchEventKind::Dispatched, part.sequence,
                                                hash32(server), runningAttempt.partTokens,
                                                contextTokens, choice.priority,
                                                workspaceHash(query.workspace)});
    }
    runningAttempt.charge = {workspaceHash(query.workspace), seconds * static_cast<double>(parts),
                             now};
    this->admission.onDispatched(runningAttempt.charge.workspace, runningAttempt.charge.seconds,
                                 now);
    this->runningAttempts[attempt] = std::move(runningAttempt);
    if (this->settings.prefixAffinity && parts == 1)
        this->prefixIndex.recordPrompt(query.prefixHashes, choice.server);
}

void WorkAheadPlacement::onFirstToken(const AttemptId &attempt, TimePoint now)
{
    const auto found = this->runningAttempts.find(attempt);
    if (found == this->runningAttempts.end())
        return;
    found->second.receivedFirstToken = true;
    for (const PromptPart &part : found->second.parts) {
        this->loadEstimate(part.server).onFirstToken({0, part.sequence}, now);
        this->queueDispatchEvent(DispatchEventKind::FirstToken, part);
    }
}

void WorkAheadPlacement::onEnded(const AttemptId &attempt, TimePoint now)
{
    const auto found = this->runningAttempts.find(attempt);
    if (found == this->runningAttempts.end())
        return;
    if (!found->second.receivedFirstToken)
        this->refundCharge(found->second.charge, now);
    const bool holdsMemory = found->second.partTokens > ShortPromptTokens;
    for (const PromptPart &part : found->second.parts) {
        this->loadEstimate(part.server).onEnded({0, part.sequence}, now);
        // Peers removed a short prompt when they received its first token.
        if (holdsMemory || !found->second.receivedFirstToken)
            this->queueDispatchEvent(DispatchEventKind::Ended, part);
    }
    this->runningAttempts.erase(found);
}

void WorkAheadPlacement::onLoadReport(const ServerId &server, const LoadReport &report,
                                      TimePoint now)
{
    this->loadEstimate(server).onLoadReport(report, now);
}

void WorkAheadPlacement::onDispatchNews(const DispatchUpdate &received, TimePoint now)
{
    if (received.senderHash == this->pendingNews.senderHash)
        return;
    const std::uint64_t ownerHash = received.senderHash;
    PeerState &peer = this->peers[received.senderHash];
    for (const DispatchEvent &event : received.events) {
        const WorkKey key{ownerHash, event.sequence};
        if (event.kind == DispatchEventKind::Dispatched) {
            const auto serverEntry = this->serversByHash.find(event.serverHash);
            if (serverEntry == this->serversByHash.end())
                continue;
            const double seconds =
                    this->settings.prefill.seconds(static_cast<double>(event.promptTokens),
                                                   static_cast<double>(event.contextTokens));
            this->loadEstimate(serverEntry->second)
                    .onDispatched(
                            {key, event.promptTokens, event.contextTokens, event.priority, seconds},
                            now);
            this->admission.onDispatched(event.workspaceHash, seconds, now);
            peer.attempts[event.sequence] = {
                    serverEntry->second, {event.workspaceHash, seconds, now}, false};
            if (peer.attempts.size() > MaxTrackedAttemptsPerPeer)
                peer.attempts.erase(peer.attempts.begin());
            continue;
        }
        const auto peerAttempt = peer.attempts.find(event.sequence);
        if (peerAttempt == peer.attempts.end())
            continue;
        LoadEstimate &load = this->loadEstimate(peerAttempt->second.server);
        if (event.kind == DispatchEventKind::FirstToken) {
            peerAttempt->second.receivedFirstToken = true;
            load.onFirstToken(key, now);
            continue;
        }
        if (!peerAttempt->second.receivedFirstToken)
            this->refundCharge(peerAttempt->second.charge, now);
        load.onEnded(key, now);
        peer.attempts.erase(peerAttempt);
    }
}

void WorkAheadPlacement::refundCharge(const UsageCharge &charge, TimePoint now)
{
    // An attempt that ends this early was refused or could not connect, so it used no capacity. One
    // that is cancelled later has used some.
    if (now - charge.chargedAt < RefundWindow)
        this->admission.onDispatched(charge.workspace, -charge.seconds, now);
}

DispatchUpdate WorkAheadPlacement::takeDispatchNews()
{
    DispatchUpdate dispatchNews = this->pendingNews;
    this->pendingNews.events.clear();
    return dispatchNews;
}

LoadEstimate &WorkAheadPlacement::loadEstimate(const ServerId &server)
{
    return this->loadEstimates.try_emplace(server, this->settings).first->second;
}

std::size_t WorkAheadPlacement::partCount(std::uint64_t tokens) const
{
    return requiredEngineCount(tokens, this->settings.memoryTokens, this->settings.longMemoryShare,
                               this->settings.partMemoryShare);
}

double WorkAheadPlacement::waitLimitFactor() const
{
    const PolicyWeights &weights = this->settings.weights;
    const double sum = weights.shortSlowdown + weights.firstToken;
    return MinWaitLimitFactor + (sum > 0 ? WaitLimitFactorRange * weights.firstToken / sum : 0);
}

double WorkAheadPlacement::allowedWaitSeconds(double seconds, const PlacementQuery &query,
                                              TimePoint now) const
{
    const double decodeSeconds =
            static_cast<double>(query.maxTokens) * toSeconds(this->settings.tokenInterval);
    const double slackSeconds =
            toSeconds(query.deadline - now) - decodeSeconds - seconds * PrefillSlackFactor;
    return std::max(0.0,
                    std::min(slackSeconds, BaseAllowedWaitSeconds + MaxOvertakingFactor * seconds));
}

std::vector<WorkAheadPlacement::Candidate>
WorkAheadPlacement::rankCandidates(const std::vector<const BackendServer *> &servers,
                                   const PlacementQuery &query, std::int64_t priority,
                                   TimePoint now)
{
    std::vector<Candidate> ranked;
    std::vector<Candidate> stalled;
    const double shorterShare = this->shorterUtilisation(servers, query.promptTokens, now);
    this->applyAverageSlowdown(servers);
    const std::size_t startIndex = this->random.nextBelow(servers.size());
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const BackendServer *server = servers[(startIndex + i) % servers.size()];
        const Candidate candidate =
                this->evaluateCandidate(*server, query, priority, shorterShare, now);
        (this->loadEstimate(server->id).isStalled(now) ? stalled : ranked).push_back(candidate);
    }
    const auto isCheaper = [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    };
    std::stable_sort(ranked.begin(), ranked.end(), isCheaper);
    std::stable_sort(stalled.begin(), stalled.end(), isCheaper);
    ranked.insert(ranked.end(), stalled.begin(), stalled.end());
    return ranked;
}

void WorkAheadPlacement::applyAverageSlowdown(const std::vector<const BackendServer *> &servers)
{
    double sum = 0;
    std::size_t measuredCount = 0;
    for (const BackendServer *server : servers) {
        const LoadEstimate &load = this->loadEstimate(server->id);
        if (!load.isMeasured())
            continue;
        sum += load.slowdownFactor();
        ++measuredCount;
    }
    if (measuredCount == 0)
        return;
    for (const BackendServer *server : servers)
        this->loadEstimate(server->id).setDefaultSlowdown(sum / static_cast<double>(measuredCount));
}

WorkAheadPlacement::Candidate
WorkAheadPlacement::evaluateCandidate(const BackendServer &server, const PlacementQuery &query,
                                      std::int64_t priority, double shorterShare, TimePoint now)
{
    LoadEstimate &load = this->loadEstimate(server.id);
    const std::size_t parts = this->partCount(query.promptTokens);
    const std::uint64_t tokens = query.promptTokens / parts;
    const std::uint64_t matchedTokens =
            this->settings.prefixAffinity && parts == 1
                    ? this->prefixIndex.matchedBlocks(query.prefixHashes, server.id)
                              * this->settings.prefixBlockTokens
                    : 0;
    // A prefix hit counts only for the prefill time that it saves.
    const auto cachedTokens = static_cast<double>(std::min(matchedTokens, tokens));
    const double workSeconds =
            (this->settings.prefill.seconds(static_cast<double>(query.promptTokens))
             - this->settings.prefill.seconds(cachedTokens))
            / static_cast<double>(parts);
    const double undisturbedSeconds =
            load.queueWaitSeconds(tokens, priority, now) + workSeconds * load.slowdownFactor();
    const double latencySeconds = server.failureDomain == this->failureDomain
                                          ? 0
                                          : 2 * toSeconds(this->settings.crossDomainLatency);
    const DelayedWork delayedWork = load.delayedWork(tokens, priority, now);
    const PolicyWeights &weights = this->settings.weights;
    // Requests to plain services have no prompt; the lower bound gives them all the same weight.
    const double ownPrefillSeconds = std::max(
            MinPrefillSeconds, this->settings.prefill.seconds(static_cast<double>(tokens)));
    Candidate candidate;
    candidate.server = &server;
    candidate.firstTokenSeconds = undisturbedSeconds / (1 - shorterShare) + latencySeconds;
    // Both terms include the delay of this request and the delay that it causes to others.
    candidate.cost = weights.shortSlowdown
                             * (candidate.firstTokenSeconds / ownPrefillSeconds
                                + workSeconds * delayedWork.inversePrefillSeconds)
                     + weights.firstToken
                               * (candidate.firstTokenSeconds + workSeconds * delayedWork.count)
                               / FirstTokenScaleSeconds;
    return candidate;
}

double WorkAheadPlacement::shorterUtilisation(const std::vector<const BackendServer *> &servers,
                                              std::uint64_t tokens, TimePoint now)
{
    double sum = 0;
    for (const BackendServer *server : servers)
        sum += this->loadEstimate(server->id).shorterUtilisation(tokens, now);
    return std::min(sum / static_cast<double>(servers.size()), MaxShorterUtilisation);
}

void WorkAheadPlacement::sampleCandidates(std::vector<const BackendServer *> &servers)
{
    const std::size_t count = this->settings.maxCandidates;
    if (count == 0 || servers.size() <= count)
        return;
    for (std::size_t i = 0; i < count; ++i)
        std::swap(servers[i], servers[i + this->random.nextBelow(servers.size() - i)]);
    servers.resize(count);
}

void WorkAheadPlacement::queueDispatchEvent(DispatchEventKind kind, const PromptPart &part)
{
    if (this->settings.shareDispatches)
        this->pendingNews.events.push_back({kind, part.sequence, 0, 0, 0, 0, 0});
}

std::int64_t WorkAheadPlacement::sharedTimeMs(TimePoint now) const
{
    return now.time_since_epoch().count() / 1'000 + this->sharedTimeOffsetMs;
}

} // namespace dotterel
