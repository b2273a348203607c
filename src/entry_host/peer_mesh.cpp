#include "entry_host/peer_mesh.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr std::size_t MostIncomingLinks = 64;

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
        this->owner.opened(this->id);
    }
    void onFrame(std::string_view bytes) override { this->owner.received(this->id, bytes); }
    void onLinkClosed(LinkEnd end) override { this->owner.closed(this->id, end); }

    std::unique_ptr<WebsocketLink> websocket;
    bool open = false;
    bool incoming = false;
    HostId peer; ///< Empty on an incoming link until its first heartbeat.
    TimePoint heard;

private:
    PeerMesh &owner;
    std::uint64_t id;
};

PeerMesh::PeerMesh(EventLoop &loop, const Endpoint &endpoint, HostId self, Duration silence,
                   PeerListener &listener, RandomSource &random, Metrics &metrics, EventLog &log,
                   std::size_t maxFrameBytes)
    : loop(loop)
    , self(std::move(self))
    , silence(silence)
    , listener(listener)
    , metrics(metrics)
    , log(log)
    , backoff(random)
    , limits(limitsFor(maxFrameBytes))
    , websockets(loop, endpoint, this->limits, [this](std::unique_ptr<WebsocketLink> websocket) {
        this->accepted(std::move(websocket));
    })
{}

PeerMesh::~PeerMesh() = default;

void PeerMesh::maintain(const std::vector<MemberRecord> &targets, const PeerMessage &goodbye)
{
    this->closeUnwanted(targets, goodbye);
    this->closeSilent();
    const TimePoint now = this->loop.now();
    this->backoff.removeExpired(now);
    for (const MemberRecord &target : targets) {
        const HostId &host = target.identity.host;
        if (this->outgoing.count(host) == 0 && !this->hasIncomingFrom(host)
            && this->backoff.mayConnect(host, now))
            this->connect(target);
    }
}

void PeerMesh::closeUnwanted(const std::vector<MemberRecord> &targets, const PeerMessage &goodbye)
{
    for (auto row = this->outgoing.begin(); row != this->outgoing.end();) {
        const HostId &host = row->first;
        const bool wanted =
                std::any_of(targets.begin(), targets.end(), [&host](const MemberRecord &target) {
                    return target.identity.host == host;
                });
        // Two hosts that connected to each other keep only one of the two links.
        const bool spare = host < this->self && this->hasIncomingFrom(host);
        if (wanted && !spare) {
            ++row;
            continue;
        }
        // Sending may close the link and remove it from both maps.
        const std::uint64_t link = row->second;
        row = this->outgoing.erase(row);
        this->send(link, goodbye);
        this->links.erase(link);
    }
}

void PeerMesh::closeSilent()
{
    const TimePoint limit = this->loop.now() - this->silence;
    std::vector<std::uint64_t> silent;
    for (const auto &[id, link] : this->links) {
        if (link->open && link->heard < limit)
            silent.push_back(id);
    }
    for (const std::uint64_t id : silent)
        this->closed(id, LinkEnd::PeerSilent);
}

void PeerMesh::connect(const MemberRecord &target)
{
    const std::uint64_t id = this->nextLink++;
    Link &link = *this->links.emplace(id, std::make_unique<Link>(*this, id)).first->second;
    link.peer = target.identity.host;
    this->outgoing[link.peer] = id;
    link.websocket = connectWebsocket(this->loop, target.peers, this->limits, link);
}

bool PeerMesh::hasIncomingFrom(const HostId &host) const
{
    return std::any_of(this->links.begin(), this->links.end(), [&host](const auto &row) {
        return row.second->incoming && row.second->open && row.second->peer == host;
    });
}

void PeerMesh::opened(std::uint64_t link)
{
    this->links.at(link)->heard = this->loop.now();
    this->log.write(Event::PeerLinked, {{"link", static_cast<std::int64_t>(link)}});
    this->listener.onPeerLinked(link);
}

void PeerMesh::broadcast(const PeerMessage &message)
{
    const std::string bytes = encodePeerMessage(message);
    // Sending may close a link, which removes it from the map.
    std::vector<std::uint64_t> open;
    for (const auto &[id, link] : this->links) {
        if (link->open)
            open.push_back(id);
    }
    for (const std::uint64_t id : open) {
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
    return static_cast<std::size_t>(
            std::count_if(this->links.begin(), this->links.end(),
                          [](const auto &row) { return row.second->open; }));
}

void PeerMesh::sendBytes(Link &link, const std::string &bytes)
{
    this->metrics.count(Counter::PeerMessagesSent, 1);
    this->metrics.count(Counter::PeerBytesSent, bytes.size());
    link.websocket->sendFrame(bytes);
}

void PeerMesh::closed(std::uint64_t link, LinkEnd end)
{
    if (end == LinkEnd::FrameTooLarge || end == LinkEnd::ProtocolError)
        this->metrics.count(Counter::PeerFramesRejected, 1);
    const auto found = this->links.find(link);
    if (found == this->links.end())
        return;
    this->log.write(Event::PeerLinkClosed, {{"link", static_cast<std::int64_t>(link)},
                                            {"peer", found->second->peer},
                                            {"incoming", found->second->incoming},
                                            {"was_open", found->second->open},
                                            {"end", std::string(linkEndName(end))}});
    const std::unique_ptr<Link> ended = std::move(found->second);
    this->links.erase(found);
    if (ended->incoming)
        return;
    const auto place = this->outgoing.find(ended->peer);
    if (place == this->outgoing.end() || place->second != link)
        return;
    this->outgoing.erase(place);
    this->backoff.onConnectionFailed(ended->peer, this->loop.now());
}

void PeerMesh::received(std::uint64_t link, std::string_view bytes)
{
    const tl::expected<PeerMessage, std::string> message = decodePeerMessage(bytes);
    if (message) {
        if (!this->noteSender(link, *message))
            return;
        this->listener.onPeerMessage(link, *message);
        return;
    }
    this->metrics.count(Counter::PeerFramesRejected, 1);
    this->log.write(Event::PeerFrameRejected, {{"error", message.error()}});
    const auto found = this->links.find(link);
    if (found != this->links.end())
        found->second->websocket->close();
}

HostId PeerMesh::peerOf(std::uint64_t link) const
{
    const auto found = this->links.find(link);
    return found == this->links.end() ? HostId() : found->second->peer;
}

bool PeerMesh::noteSender(std::uint64_t link, const PeerMessage &message)
{
    const auto found = this->links.find(link);
    if (found == this->links.end())
        return false;
    Link &source = *found->second;
    source.heard = this->loop.now();
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

void PeerMesh::accepted(std::unique_ptr<WebsocketLink> websocket)
{
    const auto incoming = std::count_if(this->links.begin(), this->links.end(),
                                        [](const auto &row) { return row.second->incoming; });
    if (static_cast<std::size_t>(incoming) >= MostIncomingLinks)
        return;
    const std::uint64_t id = this->nextLink++;
    Link &link = *this->links.emplace(id, std::make_unique<Link>(*this, id)).first->second;
    link.incoming = true;
    link.websocket = std::move(websocket);
    link.websocket->setObserver(&link);
}

} // namespace dotterel
