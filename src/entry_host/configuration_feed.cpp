#include "entry_host/configuration_feed.h"

namespace dotterel {

namespace {

/// Interval between the ends of the watches of two hosts.
constexpr Duration WatchTurnInterval = std::chrono::milliseconds(1'500);
constexpr Duration WatchRetryInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxConcurrentChunkReads = 8;
constexpr std::size_t MaxChunksPerRequest = 16;

/// Another peer may be asked if the last one has not sent all requested chunks after this time.
constexpr Duration PeerChunkTimeout = std::chrono::milliseconds(500);

} // namespace

ConfigurationFeed::ConfigurationFeed(EventLoop &loop, ObjectStore &platform, PeerMesh &mesh,
                                     ConfigurationFollower::Listener listener, Metrics &metrics,
                                     EventLog &log)
    : loop(loop)
    , platform(platform)
    , mesh(mesh)
    , log(log)
    , follower(std::move(listener), metrics, log)
    , watchSchedule(WatchTurnInterval, {})
{}

void ConfigurationFeed::start(Duration peerWait)
{
    this->follower.beginStartup();
    this->startTimer = this->loop.after(peerWait, [this] { this->follower.endStartup(); });
    this->chunkReadTimer = this->loop.every(PeerChunkTimeout, [this] {
        if (this->platformReachable)
            this->readMissingChunks();
    });
    this->watch();
}

void ConfigurationFeed::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
        this->onPeerVersion(link, heartbeat->sender.configurationVersion);
    } else if (const ConfigurationRequest *request = std::get_if<ConfigurationRequest>(&message)) {
        this->sendRoot(link, *request);
    } else if (const ConfigurationOffer *offer = std::get_if<ConfigurationOffer>(&message)) {
        this->follower.offerRoot(offer->text);
        this->requestMissingChunks(link);
    } else if (const ConfigurationChunkRequest *chunks =
                       std::get_if<ConfigurationChunkRequest>(&message)) {
        this->sendChunks(link, *chunks);
    } else if (const ConfigurationChunkOffer *chunk =
                       std::get_if<ConfigurationChunkOffer>(&message)) {
        this->onChunk(link, *chunk);
    }
}

void ConfigurationFeed::onPeerVersion(std::uint64_t link, std::uint64_t version)
{
    this->follower.onPeerVersion(version);
    if (version > this->follower.latestRootVersion())
        this->mesh.send(link, ConfigurationRequest{this->follower.current().version});
    else if (version > this->follower.current().version)
        this->requestMissingChunks(link);
}

void ConfigurationFeed::sendRoot(std::uint64_t link, const ConfigurationRequest &request)
{
    const std::uint64_t version = this->follower.current().version;
    if (version > request.knownVersion)
        this->mesh.send(link, ConfigurationOffer{version, this->follower.currentRootText()});
}

void ConfigurationFeed::sendChunks(std::uint64_t link, const ConfigurationChunkRequest &request)
{
    for (std::size_t i = 0; i < request.names.size() && i < MaxChunksPerRequest; ++i) {
        const std::string *text = this->follower.chunkText(request.names[i]);
        if (text != nullptr)
            this->mesh.send(link, ConfigurationChunkOffer{request.names[i], *text});
    }
}

void ConfigurationFeed::onChunk(std::uint64_t link, const ConfigurationChunkOffer &offer)
{
    this->follower.offerChunk(offer.name, offer.text);
    if (this->chunksPendingFromPeer > 0 && --this->chunksPendingFromPeer == 0)
        this->requestMissingChunks(link);
}

void ConfigurationFeed::watch()
{
    // A platform that does not answer loses a watch, and only the end of its wait shows this.
    const bool confirms = !this->platformReachable;
    const Duration wait = confirms ? WatchSchedule::ConfirmationWait
                                   : this->watchSchedule.nextWait(this->watchContinues);
    this->platform.watch(
            ConfigurationRootKey, this->watchedVersion, wait,
            [this, confirms](const ObjectStore::ReadResult &result, TimePoint) {
                const bool reachable = result || result.error() == StoreError::NotFound;
                if (reachable != this->platformReachable)
                    this->log.write(
                            reachable ? Event::PlatformReachable : Event::PlatformUnavailable, {});
                this->platformReachable = reachable;
                // A stale response must not turn the watch into a busy loop.
                const bool isNewer = result && result->version > this->watchedVersion;
                this->watchContinues = reachable && !isNewer && !confirms;
                if (isNewer) {
                    this->watchedVersion = result->version;
                    this->follower.offerRoot(result->value);
                    this->readMissingChunks();
                }
                this->watchTimer = this->loop.after(isNewer ? Duration::zero() : WatchRetryInterval,
                                                    [this] { this->watch(); });
            });
}

void ConfigurationFeed::readMissingChunks()
{
    for (const std::string &name : this->follower.missingChunks()) {
        if (this->chunkReadsInProgress.size() >= MaxConcurrentChunkReads)
            return;
        if (!this->chunkReadsInProgress.insert(name).second)
            continue;
        this->platform.read(configurationChunkKey(name),
                            [this, name](const ObjectStore::ReadResult &result, TimePoint) {
                                this->chunkReadsInProgress.erase(name);
                                if (!result)
                                    return;
                                this->follower.offerChunk(name, result->value);
                                this->readMissingChunks();
                            });
    }
}

void ConfigurationFeed::requestMissingChunks(std::uint64_t link)
{
    // Only one request is pending at a time; after PeerChunkTimeout another peer may be asked.
    const TimePoint now = this->loop.now();
    if (this->chunksPendingFromPeer > 0 && now - this->lastChunkRequest < PeerChunkTimeout)
        return;
    ConfigurationChunkRequest request{this->follower.missingChunks()};
    if (request.names.size() > MaxChunksPerRequest)
        request.names.resize(MaxChunksPerRequest);
    this->chunksPendingFromPeer = request.names.size();
    this->lastChunkRequest = now;
    if (!request.names.empty())
        this->mesh.send(link, request);
}

} // namespace dotterel
