// Addresses, from other writers and from peers, to which no connection can be made.

#include "core/json_input.h"
#include "gateway/host_entries.h"
#include "gateway/prompt_updates.h"
#include "platform/odd_object_fleet.h"
#include "platform/odd_values.h"
#include "protocol/peer_message.h"
#include "support/raw_client.h"
#include "transport/datagram_socket.h"
#include "transport/websocket_link.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using dotterel::platform::PlatformProtocol;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string hostEntry(const std::string &address)
{
    return Json{{"failure_domain", "z0"}, {"address", address}, {"peer_port", 9}}.dump();
}

MemberRecord memberAt(const std::string &host, const std::string &address)
{
    MemberRecord record;
    record.identity = {host, 1, "z0"};
    record.peerEndpoint = {address, 9};
    return record;
}

class ClosedLink : public LinkObserver
{
public:
    void onLinkOpened() override {}
    void onFrame(std::string_view /*bytes*/) override {}
    void onLinkClosed(LinkCloseReason reason) override { this->closed = reason; }

    std::optional<LinkCloseReason> closed;
};

class FailedCall : public HttpResponseListener
{
public:
    void onHead(int /*status*/, const HttpHeaders & /*headers*/) override {}
    void onData(std::string_view /*bytes*/) override {}
    void onComplete() override {}
    void onFailed(const HttpFailure &callFailure) override { this->failure = callFailure; }

    std::optional<HttpFailure> failure;
};

} // namespace

// Guards against the end of every host as soon as it chose a server with an IPv6 address.
TEST_CASE("An entry with an IPv6 address ended every host that chose its server",
          "[Platform][OddAddresses]")
{
    const std::string address = GENERATE(as<std::string>(), "::1:9", "[::1]:9", "fe80::1:9",
                                         "0.0.0.0:9", "224.0.0.1:9", "255.255.255.255:9");
    CAPTURE(address);
    OddObjectFleet fleet;
    // The only server of the pool, so that each request chooses it.
    Json entry = serverEntry();
    entry["address"] = address;
    fleet.store.put("servers", "sound", entry);
    CHECK(fleet.becomesTrue([&] { return fleet.allShow("sound", ""); }, ApplyLimit));

    SECTION("requests are refused, and the hosts serve on")
    {
        RawClient client(fleet.loop, fleet.hosts[0].gateway->callers());
        client.send("GET /a HTTP/1.1\r\nHost: shop\r\nX-Request-Id: r1\r\n\r\n");
        CHECK(fleet.becomesTrue(
                [&] { return client.received().find("HTTP/1.1 503") != std::string::npos; },
                seconds(3)));
        fleet.store.put("servers", "late", serverEntry());
        CHECK(fleet.becomesTrue([&] { return fleet.allShow("late", "up"); }, ApplyLimit));
    }
    SECTION("the entry is named in the log, and its server is used once the entry is mended")
    {
        CHECK(fleet.log.count("sound") >= fleet.hosts.size());
        fleet.store.put("servers", "sound", serverEntry());
        CHECK(fleet.becomesTrue([&] { return fleet.allShow("sound", "up"); }, ApplyLimit));
    }
}

// Guards against the end of every host that linked a host listed with such an address.
TEST_CASE("An odd address among the hosts ended every host", "[Platform][OddAddresses]")
{
    OddObjectFleet fleet;
    const std::vector<std::string> addresses = oddAddresses();
    for (std::size_t index = 0; index < addresses.size(); ++index)
        fleet.store.putText("dotterelfield-hosts", "odd-" + std::to_string(index),
                            hostEntry(addresses[index]));
    fleet.store.putText("dotterelfield-hosts", "a name with spaces", hostEntry("127.0.0.1"));
    // Without its peer, a host reads the list; a host that starts meanwhile reads it at once.
    fleet.startHost(1);
    const auto isNamed = [&fleet](const std::string &name) {
        return fleet.log.count(name + " ") >= fleet.hosts.size();
    };
    CHECK(fleet.becomesTrue(
            [&] { return isNamed("odd-0") && isNamed("odd-16") && isNamed("spaces"); },
            seconds(6)));
    CHECK(fleet.becomesTrue([&] { return fleet.hosts[1].gateway->status().peerLinks == 1; },
                            seconds(5)));
    CHECK(fleet.hosts[0].gateway->status().members.size() == fleet.hosts.size());
    SECTION("each entry is named once by each host that reads the list")
    {
        const std::size_t lines = fleet.log.count("odd-0 ");
        fleet.becomesTrue([] { return false; }, milliseconds(2'500));
        CHECK(fleet.log.count("odd-0 ") == lines);
    }
}

TEST_CASE("Odd addresses in entries and messages cost themselves only", "[Platform][OddAddresses]")
{
    const std::vector<std::string> addresses = oddAddresses();

    SECTION("servers of the platform")
    {
        for (const std::string &address : addresses) {
            INFO(shortened(address));
            Json entry = serverEntry();
            entry["address"] = address + ":9";
            const auto server = PlatformProtocol().parseServer("s", entry.dump());
            REQUIRE_FALSE(server);
            CHECK(server.error().size() < 300);
        }
    }
    SECTION("entries of hosts")
    {
        for (const std::string &address : addresses) {
            INFO(shortened(address));
            CHECK_FALSE(decodeHostEntry("h", hostEntry(address)));
        }
        CHECK(decodeHostEntry("h", hostEntry("10.0.0.1")));
        for (const std::string &name :
             {std::string(), std::string("a b"), std::string("\xc3\xa9"), std::string(300, 'a')}) {
            CHECK_FALSE(decodeHostEntry(name, hostEntry("10.0.0.1")));
            CHECK_FALSE(decodeHostEntry(
                    "h", Json{{"failure_domain", name}, {"address", "10.0.0.1"}, {"peer_port", 9}}
                                 .dump()));
        }
    }
    SECTION("records of members that a peer passes on")
    {
        MemberUpdate update;
        Heartbeat heartbeat;
        heartbeat.sender = memberAt("sender", "10.0.0.1");
        for (const std::string &address : {std::string("nowhere"), std::string("::1")})
            update.members.push_back(memberAt("odd", address));
        update.members.push_back(memberAt("sound", "10.0.0.2"));
        heartbeat.changedRecords = update.members;
        const auto decodedUpdate = decodePeerMessage(encodePeerMessage(update));
        REQUIRE(decodedUpdate);
        REQUIRE(std::get<MemberUpdate>(*decodedUpdate).members.size() == 1);
        CHECK(std::get<MemberUpdate>(*decodedUpdate).members[0].identity.host == "sound");
        const auto decodedHeartbeat = decodePeerMessage(encodePeerMessage(heartbeat));
        REQUIRE(decodedHeartbeat);
        CHECK(std::get<Heartbeat>(*decodedHeartbeat).changedRecords.size() == 1);
        heartbeat.sender = memberAt("sender", "nowhere");
        CHECK_FALSE(decodePeerMessage(encodePeerMessage(heartbeat)));
    }
    SECTION("a host that joins")
    {
        for (const std::string &address : addresses) {
            PromptUpdateBatch batch;
            batch.joinedAt = Endpoint{address, 9};
            CHECK_FALSE(decodePromptUpdates(encodePromptUpdates(batch)));
        }
    }
}

TEST_CASE("The transport reports an address that it cannot use as a failure to connect",
          "[Platform][OddAddresses]")
{
    EventLoop loop;
    const auto runUntil = [&loop](const std::function<bool()> &condition) {
        const TimePoint start = loop.now();
        while (!condition() && loop.now() - start < seconds(2)) {
            const EventLoop::TimerHandle wake = loop.after(milliseconds(20), [] {});
            loop.runOnce(true);
        }
        return condition();
    };
    const std::string address = GENERATE(as<std::string>(), "::1", "nowhere", "");
    SECTION("requests")
    {
        KeepAliveHttpClient client(loop, KeepAliveHttpClientLimits{});
        FailedCall listener;
        HttpRequest request;
        request.endpoint = {address, 9};
        request.method = "GET";
        request.target = "/";
        const auto call = client.send(request, listener);
        CHECK_FALSE(listener.failure);
        REQUIRE(runUntil([&] { return listener.failure.has_value(); }));
        CHECK(listener.failure->kind == HttpFailureKind::ConnectFailed);
        CHECK(listener.failure->verdict == Verdict::NotRun);
    }
    SECTION("links")
    {
        ClosedLink observer;
        const auto link = connectWebsocket(loop, {address, 9}, LinkLimits{}, observer);
        CHECK_FALSE(observer.closed);
        REQUIRE(runUntil([&] { return observer.closed.has_value(); }));
        CHECK(*observer.closed == LinkCloseReason::ConnectFailed);
    }
    SECTION("datagrams")
    {
        DatagramSocket socket(loop, {"127.0.0.1", 0}, [](std::string_view) {});
        CHECK_FALSE(socket.send({address, 9}, "x"));
    }
}
