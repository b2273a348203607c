#include "entry_host/configuration_feed.h"

namespace dotterel {

namespace {

constexpr Duration WatchWait = std::chrono::seconds(20);
constexpr Duration WatchRetry = std::chrono::milliseconds(500);
constexpr std::size_t MostChunkReads = 8;
constexpr std::size_t MostChunksAsked = 16;

/// Another peer may be asked if the last one has not sent all requested chunks after this time.
constexpr Duration ChunkTimeout = std::chrono::milliseconds(500);

} // namespace

ConfigurationFeed::ConfigurationFeed(EventLoop &loop, ObjectStore &platform, PeerMesh &mesh,
                                     ConfigurationFollower::Listener listener, Metrics &metrics,
                                     EventLog &log)
    : loop(loop)
    , platform(platform)
    , mesh(mesh)
    , log(log)
    , follower(std::move(listener), metrics, log)
{}

void ConfigurationFeed::start(Duration peerWait)
{
    this->follower.beginStartup();
    this->startTimer = this->loop.after(peerWait, [this] { this->follower.endStartup(); });
    this->fetchTimer = this->loop.every(ChunkTimeout, [this] {
        if (this->platformReachable)
            this->fetchChunks();
    });
    this->watch();
}

void ConfigurationFeed::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
        this->onPeerVersion(link, heartbeat->sender.configurationVersion);
    } else if (const ConfigurationRequest *request = std::get_if<ConfigurationRequest>(&message)) {
        this->serveRoot(link, *request);
    } else if (const ConfigurationOffer *offer = std::get_if<ConfigurationOffer>(&message)) {
        this->follower.offerRoot(offer->text);
        this->askForChunks(link);
    } else if (const ConfigurationChunkRequest *chunks =
                       std::get_if<ConfigurationChunkRequest>(&message)) {
        this->serveChunks(link, *chunks);
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
        this->askForChunks(link);
}

void ConfigurationFeed::serveRoot(std::uint64_t link, const ConfigurationRequest &request)
{
    const std::uint64_t version = this->follower.current().version;
    if (version > request.knownVersion)
        this->mesh.send(link, ConfigurationOffer{version, this->follower.currentRootText()});
}

void ConfigurationFeed::serveChunks(std::uint64_t link, const ConfigurationChunkRequest &request)
{
    for (std::size_t i = 0; i < request.names.size() && i < MostChunksAsked; ++i) {
        const std::string *text = this->follower.chunkText(request.names[i]);
        if (text != nullptr)
            this->mesh.send(link, ConfigurationChunkOffer{request.names[i], *text});
    }
}

void ConfigurationFeed::onChunk(std::uint64_t link, const ConfigurationChunkOffer &offer)
{
    this->follower.offerChunk(offer.name, offer.text);
    if (this->chunksAwaited > 0 && --this->chunksAwaited == 0)
        this->askForChunks(link);
}

void ConfigurationFeed::watch()
{
    this->platform.watch(
            ConfigurationKey, this->watchedVersion, WatchWait,
            [this](const ObjectStore::ReadResult &result, TimePoint) {
                const bool reachable = result || result.error() == StoreError::NotFound;
                if (reachable != this->platformReachable)
                    this->log.write(
                            reachable ? Event::PlatformReachable : Event::PlatformUnavailable, {});
                this->platformReachable = reachable;
                // A stale response must not turn the watch into a busy loop.
                const bool isNews = result && result->version > this->watchedVersion;
                if (isNews) {
                    this->watchedVersion = result->version;
                    this->follower.offerRoot(result->value);
                    this->fetchChunks();
                }
                this->watchTimer = this->loop.after(isNews ? Duration::zero() : WatchRetry,
                                                    [this] { this->watch(); });
            });
}

void ConfigurationFeed::fetchChunks()
{
    for (const std::string &name : this->follower.missingChunks()) {
        if (this->chunksFetched.size() >= MostChunkReads)
            return;
        if (!this->chunksFetched.insert(name).second)
            continue;
        this->platform.read(configurationChunkKey(name),
                            [this, name](const ObjectStore::ReadResult &result, TimePoint) {
                                this->chunksFetched.erase(name);
                                if (!result)
                                    return;
                                this->follower.offerChunk(name, result->value);
                                this->fetchChunks();
                            });
    }
}

void ConfigurationFeed::askForChunks(std::uint64_t link)
{
    // Only one request is pending at a time; after ChunkTimeout another peer may be asked.
    const TimePoint now = this->loop.now();
    if (this->chunksAwaited > 0 && now - this->chunksAskedAt < ChunkTimeout)
        return;
    ConfigurationChunkRequest request{this->follower.missingChunks()};
    if (request.names.size() > MostChunksAsked)
        request.names.resize(MostChunksAsked);
    this->chunksAwaited = request.names.size();
    this->chunksAskedAt = now;
    if (!request.names.empty())
        this->mesh.send(link, request);
}

} // namespace dotterel
