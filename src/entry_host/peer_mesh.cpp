#include "entry_host/peer_mesh.h"

#include "core/hashing.h"

#include <algorithm>
#include <set>

namespace dotterel {

namespace {

/// Links that a host opens; those that others open to it come on top.
constexpr std::size_t OutgoingLinks = 4;
constexpr std::size_t MostIncomingLinks = 64;

/// Returns the hosts that \a self links to: a different spread for each host, which changes little
/// when hosts come and go.
std::vector<ListedHost> chooseHosts(const HostId &self, const std::vector<ListedHost> &hosts)
{
    std::vector<std::pair<std::uint64_t, const ListedHost *>> ranked;
    for (const ListedHost &host : hosts) {
        if (host.role == "entry" && host.id != self && !host.leaving)
            ranked.emplace_back(hash64(self + '\0' + host.id), &host);
    }
    std::sort(ranked.begin(), ranked.end());
    if (ranked.size() > OutgoingLinks)
        ranked.resize(OutgoingLinks);
    std::vector<ListedHost> chosen;
    chosen.reserve(ranked.size());
    for (const auto &[weight, host] : ranked)
        chosen.push_back(*host);
    return chosen;
}

} // namespace

/// One link and its place in the mesh.
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
        this->owner.log.write(Event::PeerLinked, {{"link", static_cast<std::int64_t>(this->id)}});
    }
    void onFrame(std::string_view bytes) override { this->owner.received(this->id, bytes); }
    void onLinkClosed(LinkEnd end) override { this->owner.closed(this->id, end); }

    std::unique_ptr<WebsocketLink> websocket;
    bool open = false;
    bool incoming = false;

private:
    PeerMesh &owner;
    std::uint64_t id;
};

PeerMesh::PeerMesh(EventLoop &loop, const Endpoint &endpoint, HostId self, PeerListener &listener,
                   Metrics &metrics, EventLog &log)
    : loop(loop)
    , self(std::move(self))
    , listener(listener)
    , metrics(metrics)
    , log(log)
    , websockets(loop, endpoint, LinkLimits{}, [this](std::unique_ptr<WebsocketLink> websocket) {
        this->accepted(std::move(websocket));
    })
{}

PeerMesh::~PeerMesh() = default;

void PeerMesh::applyHosts(const std::vector<ListedHost> &hosts)
{
    const std::vector<ListedHost> chosen = chooseHosts(this->self, hosts);
    std::set<HostId> wanted;
    for (const ListedHost &host : chosen)
        wanted.insert(host.id);
    for (auto row = this->outgoing.begin(); row != this->outgoing.end();) {
        const bool keep = wanted.count(row->first) > 0;
        if (!keep)
            this->links.erase(row->second);
        row = keep ? std::next(row) : this->outgoing.erase(row);
    }
    for (const ListedHost &host : chosen) {
        if (this->outgoing.count(host.id) > 0)
            continue;
        const std::uint64_t id = this->nextLink++;
        Link &link = *this->links.emplace(id, std::make_unique<Link>(*this, id)).first->second;
        this->outgoing[host.id] = id;
        link.websocket =
                connectWebsocket(this->loop, {host.address, host.peerPort}, LinkLimits{}, link);
    }
}

void PeerMesh::broadcast(const PeerMessage &message)
{
    const std::string bytes = encodePeerMessage(message);
    // Sending may close a link, which removes it from the table.
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
    this->log.write(Event::PeerLinkClosed, {{"link", static_cast<std::int64_t>(link)},
                                            {"end", std::string(linkEndName(end))}});
    if (end == LinkEnd::FrameTooLarge || end == LinkEnd::ProtocolError)
        this->metrics.count(Counter::PeerFramesRejected, 1);
    for (auto row = this->outgoing.begin(); row != this->outgoing.end(); ++row) {
        if (row->second == link) {
            this->outgoing.erase(row);
            break;
        }
    }
    this->links.erase(link);
}

void PeerMesh::received(std::uint64_t link, std::string_view bytes)
{
    const tl::expected<PeerMessage, std::string> message = decodePeerMessage(bytes);
    if (message) {
        this->listener.onPeerMessage(link, *message);
        return;
    }
    this->metrics.count(Counter::PeerFramesRejected, 1);
    this->log.write(Event::PeerFrameRejected, {{"error", message.error()}});
    const auto found = this->links.find(link);
    if (found != this->links.end())
        found->second->websocket->close();
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
