#pragma once

#include "coordination/member_backoff.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "protocol/peer_message.h"
#include "transport/websocket_link.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace dotterel {

/// Receives the events of a PeerMesh.
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /// \a link was opened. The first message sent over it has to identify this host.
    virtual void onPeerLinkOpened(std::uint64_t link) = 0;

    /// \a message arrived over \a link; reply with PeerMesh::send().
    virtual void onPeerMessage(std::uint64_t link, const PeerMessage &message) = 0;
};

/// WebSocket links of this host to a bounded number of other entry hosts.
class PeerMesh
{
public:
    /// A link is closed if nothing is received for \a peerTimeout, or on a frame larger than
    /// \a maxFrameBytes.
    PeerMesh(EventLoop &loop, const Endpoint &endpoint, HostId ownHost, Duration peerTimeout,
             PeerListener &listener, RandomSource &random, Metrics &metrics, EventLog &log,
             std::size_t maxFrameBytes = LinkLimits{}.maxFrameBytes);
    ~PeerMesh();

    /// Opens links to \a targets and closes links that this host opened to other hosts, after
    /// sending \a goodbye. To be called periodically: it also reconnects failed links and closes
    /// links whose peer is silent.
    void updateLinks(const std::vector<MemberRecord> &targets, const PeerMessage &goodbye);

    /// Sends \a message over every open link.
    void broadcast(const PeerMessage &message);

    /// Sends \a message over \a link, if it is still open.
    void send(std::uint64_t link, const PeerMessage &message);

    /// The bound address and port.
    Endpoint endpoint() const { return this->listenerSocket.endpoint(); }

    /// Returns the peer of \a link, or an empty id if it is unknown or the link is closed.
    HostId peerOf(std::uint64_t link) const;

    /// Returns the number of open links.
    std::size_t openLinks() const;

    /// Returns the open links, in ascending order.
    std::vector<std::uint64_t> openLinkIds() const;

    /// Returns the number of open links over which nothing was received for \a time.
    std::size_t silentLinks(Duration time) const;

    /// Closes the links that silentLinks() counts; updateLinks() opens them again.
    void closeSilentLinks(Duration time);

    /// Returns the number of bytes for peers that are not yet handed to a socket.
    std::size_t unsentBytes() const;

    /// Closes all links. Bytes that their sockets do not take at once are lost, and logged as such.
    void closeAllLinks();

private:
    class Link;

    void closeUnneededLinks(const std::vector<MemberRecord> &targets, const PeerMessage &goodbye);
    std::vector<std::uint64_t> linksSilentFor(Duration time) const;
    void connect(const MemberRecord &target);
    void closeLink(std::uint64_t link);
    bool hasIncomingLinkFrom(const HostId &host) const;
    void onLinkOpened(std::uint64_t link);
    void sendBytes(Link &link, const std::string &bytes);
    void onLinkClosed(std::uint64_t link, LinkCloseReason end);
    void onFrame(std::uint64_t link, std::string_view bytes);
    bool recordSender(std::uint64_t link, const PeerMessage &message);
    void onLinkAccepted(std::unique_ptr<WebsocketLink> websocket);

    EventLoop &loop;
    HostId ownHost;
    Duration peerTimeout;
    PeerListener &listener;
    Metrics &metrics;
    EventLog &log;
    MemberBackoff backoff;
    LinkLimits limits;
    std::uint64_t nextLinkId = 1;
    std::map<std::uint64_t, std::unique_ptr<Link>> links;
    std::map<HostId, std::uint64_t> outgoingLinks;
    WebsocketListener listenerSocket;
};

} // namespace dotterel
