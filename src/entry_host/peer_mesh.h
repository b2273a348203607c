#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "protocol/peer_message.h"
#include "state/object_store.h"
#include "transport/websocket_link.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace dotterel {

/// Hears what peers send.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /// \a message came from the peer behind \a link; reply with PeerMesh::send().
    virtual void onPeerMessage(std::uint64_t link, const PeerMessage &message) = 0;
};

/// Links of this host to a bounded number of other entry hosts.
class PeerMesh
{
public:
    PeerMesh(EventLoop &loop, const Endpoint &endpoint, HostId self, PeerListener &listener,
             Metrics &metrics, EventLog &log);
    ~PeerMesh();

    /// Opens links to the peers that this host chooses among \a hosts and closes others.
    void applyHosts(const std::vector<ListedHost> &hosts);

    /// Sends \a message over every open link.
    void broadcast(const PeerMessage &message);

    /// Sends \a message over \a link, if it is still open.
    void send(std::uint64_t link, const PeerMessage &message);

    /// The address and port in use.
    Endpoint endpoint() const { return this->websockets.endpoint(); }

    /// Returns the number of open links.
    std::size_t openLinks() const;

private:
    class Link;

    void sendBytes(Link &link, const std::string &bytes);
    void closed(std::uint64_t link, LinkEnd end);
    void received(std::uint64_t link, std::string_view bytes);
    void accepted(std::unique_ptr<WebsocketLink> websocket);

    EventLoop &loop;
    HostId self;
    PeerListener &listener;
    Metrics &metrics;
    EventLog &log;
    std::uint64_t nextLink = 1;
    std::map<std::uint64_t, std::unique_ptr<Link>> links;
    std::map<HostId, std::uint64_t> outgoing;
    WebsocketListener websockets;
};

} // namespace dotterel
