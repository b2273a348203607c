#include "entry_host/peer_mesh.h"

#include "support/raw_connection.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using support::RawConnection;

namespace {

constexpr unsigned char BinaryFrame = 0x82;
constexpr Duration PeerTimeout = std::chrono::milliseconds(200);

class RejectedFrameMetrics : public NullMetrics
{
public:
    void count(Counter counter, std::uint64_t amount) override
    {
        if (counter == Counter::PeerFramesRejected)
            this->rejected += amount;
    }

    std::uint64_t rejected = 0;
};

/// A mesh with its own event loop; counts the messages of its peers.
class MeshUnderTest : private PeerListener
{
public:
    explicit MeshUnderTest(const HostId &host)
        : mesh(this->loop, Endpoint{}, host, PeerTimeout, *this, this->random, this->metrics,
               this->log)
    {}

    bool runUntil(const std::function<bool()> &condition)
    {
        bool expired = false;
        const EventLoop::TimerHandle timeout =
                this->loop.after(std::chrono::seconds(4), [&expired] { expired = true; });
        const EventLoop::TimerHandle updateTimer =
                this->loop.every(std::chrono::milliseconds(5),
                                 [this] { this->mesh.updateLinks(this->targets, Heartbeat{}); });
        while (!expired && !condition())
            this->loop.runOnce(true);
        return condition();
    }

    EventLoop loop;
    SeededRandom random{1};
    RejectedFrameMetrics metrics;
    NullEventLog log;
    std::vector<MemberRecord> targets;
    std::size_t received = 0;
    PeerMesh mesh;

private:
    void onPeerLinkOpened(std::uint64_t /*link*/) override {}
    void onPeerMessage(std::uint64_t /*link*/, const PeerMessage & /*message*/) override
    {
        ++this->received;
    }
};

std::string heartbeatFrame()
{
    Heartbeat heartbeat;
    heartbeat.sender.identity = {"b", 1, "centro-a"};
    heartbeat.sender.peerEndpoint = {"127.0.0.1", 1};
    return RawConnection::frame(BinaryFrame, encodePeerMessage(heartbeat));
}

} // namespace

TEST_CASE("A mesh closes broken links and reconnects", "[EntryHost][PeerMesh]")
{
    MeshUnderTest host("a");

    SECTION("an undecodable frame is counted and closes only its own link")
    {
        RawConnection validPeer(host.mesh.endpoint());
        RawConnection invalidPeer(host.mesh.endpoint());
        validPeer.write(RawConnection::upgradeRequest());
        invalidPeer.write(RawConnection::upgradeRequest());
        REQUIRE(host.runUntil([&host] { return host.mesh.openLinks() == 2; }));
        invalidPeer.write(RawConnection::frame(BinaryFrame, "\x81\x81\x81 no message"));
        CHECK(host.runUntil([&host] { return host.mesh.openLinks() == 1; }));
        CHECK(host.metrics.rejected == 1);
        validPeer.write(heartbeatFrame());
        CHECK(host.runUntil([&host] { return host.received == 1; }));
    }
    SECTION("the link to a silent peer is closed")
    {
        RawConnection silentPeer(host.mesh.endpoint());
        silentPeer.write(RawConnection::upgradeRequest());
        REQUIRE(host.runUntil([&host] { return host.mesh.openLinks() == 1; }));
        CHECK(host.runUntil([&host] { return host.mesh.openLinks() == 0; }));
    }
    SECTION("links beyond the limit are not accepted")
    {
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (int i = 0; i < 80; ++i) {
            connections.push_back(std::make_unique<RawConnection>(host.mesh.endpoint()));
            connections.back()->write(RawConnection::upgradeRequest());
        }
        std::size_t maxOpenLinks = 0;
        static_cast<void>(host.runUntil([&] {
            maxOpenLinks = std::max(maxOpenLinks, host.mesh.openLinks());
            return maxOpenLinks >= 64;
        }));
        CHECK(maxOpenLinks == 64);
        CHECK(host.runUntil([&host] { return host.mesh.openLinks() == 0; }));
    }
    SECTION("a peer that starts late is connected by a retry")
    {
        Endpoint lateEndpoint;
        {
            const MeshUnderTest closedMesh("b");
            lateEndpoint = closedMesh.mesh.endpoint();
        }
        MemberRecord target;
        target.identity = {"b", 1, "centro-a"};
        target.peerEndpoint = lateEndpoint;
        host.targets = {target};
        bool waited = false;
        const EventLoop::TimerHandle wait =
                host.loop.after(std::chrono::milliseconds(50), [&waited] { waited = true; });
        REQUIRE(host.runUntil([&waited] { return waited; }));
        CHECK(host.mesh.openLinks() == 0);
        std::vector<std::unique_ptr<WebsocketLink>> accepted;
        const WebsocketListener listener(host.loop, lateEndpoint, LinkLimits{},
                                         [&accepted](std::unique_ptr<WebsocketLink> link) {
                                             accepted.push_back(std::move(link));
                                         });
        CHECK(host.runUntil([&host] { return host.mesh.openLinks() == 1; }));
    }
}

// Guards against a goodbye that arrives as zeros, which the peer takes for a protocol error.
TEST_CASE("A link that is no longer needed ended with a protocol error at its peer",
          "[EntryHost][PeerMesh]")
{
    MeshUnderTest leaving("b");
    MeshUnderTest staying("a");
    Heartbeat goodbye;
    goodbye.sender.identity = {"b", 1, "centro-a"};
    goodbye.sender.peerEndpoint = {"127.0.0.1", 1};
    MemberRecord target;
    target.identity = {"a", 1, "centro-a"};
    target.peerEndpoint = staying.mesh.endpoint();
    const auto bothOpen = [&] {
        leaving.loop.runOnce(false);
        return leaving.mesh.openLinks() == 1 && staying.mesh.openLinks() == 1;
    };
    leaving.mesh.updateLinks({target}, goodbye);
    REQUIRE(staying.runUntil(bothOpen));

    SECTION("when the member is no target any more")
    {
        leaving.mesh.updateLinks({}, goodbye);
    }
    SECTION("when all links are closed")
    {
        leaving.mesh.broadcast(goodbye);
        CHECK(leaving.mesh.unsentBytes() > 0);
        leaving.mesh.closeAllLinks();
    }
    CHECK(leaving.mesh.openLinks() == 0);
    CHECK(staying.runUntil([&] { return staying.mesh.openLinks() == 0; }));
    CHECK(staying.received == 1);
    CHECK(staying.metrics.rejected == 0);
}
