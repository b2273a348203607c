#include "entry_host/peer_mesh.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr std::size_t MaxIncomingLinks = 64;

LinkLimits limitsFor(std::size_t maxFrameBytes)
{
    LinkLimits limits;
    limits.maxFrameBytes = maxFrameBytes;
    limits.maxUnsentBytes = std::max(limits.maxUnsentBytes, 2 * maxFrameBytes);
    return limits;
}

} // namespace

/// A link and its state in the mesh.
class PeerMesh::Link : public LinkObserver
{
public:
    Link(PeerMesh &owner, std::uint64_t id)
        : owner(owner)
        , id(id)
    {}

    void onLinkOpened() override
    {
        this->open = true;
        this->owner.onLinkOpened(this->id);
    }
    void onFrame(std::string_view bytes) override { this->owner.onFrame(this->id, bytes); }
    void onLinkClosed(LinkCloseReason end) override { this->owner.onLinkClosed(this->id, end); }

    std::unique_ptr<WebsocketLink> websocket;
    bool open = false;
    bool incoming = false;
    HostId peer; ///< Empty on an incoming link until its first heartbeat.
    TimePoint lastReceived;

private:
    PeerMesh &owner;
    std::uint64_t id;
};

PeerMesh::PeerMesh(EventLoop &loop, const Endpoint &endpoint, HostId ownHost, Duration peerTimeout,
                   PeerListener &listener, RandomSource &random, Metrics &metrics, EventLog &log,
                   std::size_t maxFrameBytes)
    : loop(loop)
    , ownHost(std::move(ownHost))
    , peerTimeout(peerTimeout)
    , listener(listener)
    , metrics(metrics)
    , log(log)
    , backoff(random)
    , limits(limitsFor(maxFrameBytes))
    , listenerSocket(loop, endpoint, this->limits,
                     [this](std::unique_ptr<WebsocketLink> websocket) {
                         this->onLinkAccepted(std::move(websocket));
                     })
{}

PeerMesh::~PeerMesh() = default;

void PeerMesh::updateLinks(const std::vector<MemberRecord> &targets, const PeerMessage &goodbye)
{
    this->closeUnneededLinks(targets, goodbye);
    this->closeSilentLinks(this->peerTimeout);
    const TimePoint now = this->loop.now();
    this->backoff.removeExpired(now);
    for (const MemberRecord &target : targets) {
        const HostId &host = target.identity.host;
        if (this->outgoingLinks.count(host) == 0 && !this->hasIncomingLinkFrom(host)
            && this->backoff.mayConnect(host, now))
            this->connect(target);
    }
}

void PeerMesh::closeUnneededLinks(const std::vector<MemberRecord> &targets,
                                  const PeerMessage &goodbye)
{
    for (auto entry = this->outgoingLinks.begin(); entry != this->outgoingLinks.end();) {
        const HostId &host = entry->first;
        const bool isTarget =
                std::any_of(targets.begin(), targets.end(), [&host](const MemberRecord &target) {
                    return target.identity.host == host;
                });
        // Two hosts that connected to each other keep only one of the two links.
        const bool isDuplicate = host < this->ownHost && this->hasIncomingLinkFrom(host);
        if (isTarget && !isDuplicate) {
            ++entry;
            continue;
        }
        // Sending may close the link and remove it from both maps.
        const std::uint64_t link = entry->second;
        entry = this->outgoingLinks.erase(entry);
        this->send(link, goodbye);
        this->closeLink(link);
    }
}

std::vector<std::uint64_t> PeerMesh::linksSilentFor(Duration time) const
{
    const TimePoint limit = this->loop.now() - time;
    std::vector<std::uint64_t> silent;
    for (const auto &[id, link] : this->links) {
        if (link->open && link->lastReceived < limit)
            silent.push_back(id);
    }
    return silent;
}

std::size_t PeerMesh::silentLinks(Duration time) const
{
    return this->linksSilentFor(time).size();
}

void PeerMesh::closeSilentLinks(Duration time)
{
    for (const std::uint64_t id : this->linksSilentFor(time))
        this->onLinkClosed(id, LinkCloseReason::PeerSilent);
}

void PeerMesh::connect(const MemberRecord &target)
{
    const std::uint64_t id = this->nextLinkId++;
    Link &link = *this->links.emplace(id, std::make_unique<Link>(*this, id)).first->second;
    link.peer = target.identity.host;
    this->outgoingLinks[link.peer] = id;
    link.websocket = connectWebsocket(this->loop, target.peerEndpoint, this->limits, link);
}

bool PeerMesh::hasIncomingLinkFrom(const HostId &host) const
{
    return std::any_of(this->links.begin(), this->links.end(), [&host](const auto &entry) {
        return entry.second->incoming && entry.second->open && entry.second->peer == host;
    });
}

void PeerMesh::onLinkOpened(std::uint64_t link)
{
    this->links.at(link)->lastReceived = this->loop.now();
    this->log.write(Event::PeerLinked, {{"link", static_cast<std::int64_t>(link)}});
    this->listener.onPeerLinkOpened(link);
}

void PeerMesh::broadcast(const PeerMessage &message)
{
    const std::string bytes = encodePeerMessage(message);
    // Sending may close a link, which removes it from the map.
    for (const std::uint64_t id : this->openLinkIds()) {
        const auto link = this->links.find(id);
        if (link != this->links.end())
            this->sendBytes(*link->second, bytes);
    }
}

void PeerMesh::send(std::uint64_t link, const PeerMessage &message)
{
    const auto found = this->links.find(link);
    if (found != this->links.end() && found->second->open)
        this->sendBytes(*found->second, encodePeerMessage(message));
}

std::size_t PeerMesh::openLinks() const
{
    return this->openLinkIds().size();
}

std::vector<std::uint64_t> PeerMesh::openLinkIds() const
{
    std::vector<std::uint64_t> open;
    for (const auto &[id, link] : this->links) {
        if (link->open)
            open.push_back(id);
    }
    return open;
}

void PeerMesh::sendBytes(Link &link, const std::string &bytes)
{
    this->metrics.count(Counter::PeerMessagesSent, 1);
    this->metrics.count(Counter::PeerBytesSent, bytes.size());
    link.websocket->sendFrame(bytes);
}

void PeerMesh::onLinkClosed(std::uint64_t link, LinkCloseReason end)
{
    if (end == LinkCloseReason::FrameTooLarge || end == LinkCloseReason::ProtocolError)
        this->metrics.count(Counter::PeerFramesRejected, 1);
    const auto found = this->links.find(link);
    if (found == this->links.end())
        return;
    // A link whose peer is silent is still open.
    WebsocketLink &websocket = *found->second->websocket;
    websocket.setObserver(nullptr);
    websocket.close();
    const std::size_t lostBytes = websocket.unsentBytes();
    this->metrics.count(Counter::PeerBytesLost, lostBytes);
    this->log.write(Event::PeerLinkClosed, {{"link", static_cast<std::int64_t>(link)},
                                            {"peer", found->second->peer},
                                            {"incoming", found->second->incoming},
                                            {"was_open", found->second->open},
                                            {"lost_bytes", static_cast<std::int64_t>(lostBytes)},
                                            {"end", std::string(linkCloseReasonName(end))}});
    const std::unique_ptr<Link> closedLink = std::move(found->second);
    this->links.erase(found);
    if (closedLink->incoming)
        return;
    const auto outgoingLink = this->outgoingLinks.find(closedLink->peer);
    if (outgoingLink == this->outgoingLinks.end() || outgoingLink->second != link)
        return;
    this->outgoingLinks.erase(outgoingLink);
    this->backoff.onConnectionFailed(closedLink->peer, this->loop.now());
}

void PeerMesh::onFrame(std::uint64_t link, std::string_view bytes)
{
    const tl::expected<PeerMessage, std::string> message = decodePeerMessage(bytes);
    if (message) {
        if (!this->recordSender(link, *message))
            return;
        this->listener.onPeerMessage(link, *message);
        return;
    }
    this->metrics.count(Counter::PeerFramesRejected, 1);
    this->log.write(Event::PeerFrameRejected, {{"error", message.error()}});
    this->closeLink(link);
}

void PeerMesh::closeLink(std::uint64_t link)
{
    const auto found = this->links.find(link);
    if (found != this->links.end())
        found->second->websocket->close();
}

void PeerMesh::closeAllLinks()
{
    while (!this->links.empty()) {
        const std::uint64_t link = this->links.begin()->first;
        this->closeLink(link);
        // A link that was closed before reports its end only once.
        this->links.erase(link);
    }
    this->outgoingLinks.clear();
}

std::size_t PeerMesh::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, link] : this->links)
        bytes += link->websocket->unsentBytes();
    return bytes;
}

HostId PeerMesh::peerOf(std::uint64_t link) const
{
    const auto found = this->links.find(link);
    return found == this->links.end() ? HostId() : found->second->peer;
}

bool PeerMesh::recordSender(std::uint64_t link, const PeerMessage &message)
{
    const auto found = this->links.find(link);
    if (found == this->links.end())
        return false;
    Link &source = *found->second;
    source.lastReceived = this->loop.now();
    const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message);
    if (heartbeat == nullptr)
        return true;
    const HostId &sender = heartbeat->sender.identity.host;
    if (source.incoming) {
        source.peer = sender;
    } else if (source.peer != sender) {
        // Another host now uses this address.
        source.websocket->close();
        return false;
    }
    this->backoff.reset(sender);
    return true;
}

void PeerMesh::onLinkAccepted(std::unique_ptr<WebsocketLink> websocket)
{
    const auto incoming = std::count_if(this->links.begin(), this->links.end(),
                                        [](const auto &entry) { return entry.second->incoming; });
    if (static_cast<std::size_t>(incoming) >= MaxIncomingLinks)
        return;
    const std::uint64_t id = this->nextLinkId++;
    Link &link = *this->links.emplace(id, std::make_unique<Link>(*this, id)).first->second;
    link.incoming = true;
    link.websocket = std::move(websocket);
    link.websocket->setObserver(&link);
}

} // namespace dotterel
