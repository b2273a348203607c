// The part of SoakRun that plays odd values from outside.

#include "platform/odd_values.h"
#include "platform/soak/soak_run.h"
#include "support/raw_connection.h"

#include <array>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// Time for which an odd value stands, and the longest time of a sound one after it.
constexpr std::uint64_t MinValueMs = 200;
constexpr std::uint64_t ValueSpreadMs = 800;
constexpr std::uint64_t MaxSoundMs = 400;
constexpr double RecordedShare = 0.5;
constexpr std::uint64_t MeanConnectionIntervalMs = 60;
constexpr std::uint64_t MaxConnectionMs = 1'500;
constexpr std::uint64_t MaxOddFrames = 4;
constexpr std::uint64_t MaxRandomBytes = 200;

std::string draw(const std::vector<std::string> &values, RandomSource &random)
{
    return values[random.nextBelow(values.size())];
}

std::string drawBytes(RandomSource &random)
{
    std::string bytes(random.nextBelow(MaxRandomBytes), 0);
    for (char &byte : bytes)
        byte = static_cast<char>(random.nextBelow(256));
    return bytes;
}

/// Returns \a entry with the JSON text \a value in place of \a field.
std::string withField(Json entry, const std::string &field, const std::string &value)
{
    constexpr const char *Mark = "odd value";
    entry[field] = Mark;
    std::string text = entry.dump();
    const std::string quoted = "\"" + std::string(Mark) + "\"";
    return text.replace(text.find(quoted), quoted.size(), value);
}

} // namespace

void SoakRun::startOddValues()
{
    this->addServer(this->oddRandom.nextDouble() < 0.5 ? "orders" : "prompts");
    this->oddServer = this->activeServers.back();
    this->activeServers.pop_back();
    this->playOddEntry();
    this->playOddConnections();
}

void SoakRun::playOddEntry()
{
    if (this->faultsEnded)
        return;
    this->writeOddEntry();
    this->runAfter(milliseconds(MinValueMs + this->oddRandom.nextBelow(ValueSpreadMs)), [this] {
        this->writeServerEntry(*this->oddServer);
        this->runAfter(milliseconds(1 + this->oddRandom.nextBelow(MaxSoundMs)),
                       [this] { this->playOddEntry(); });
    });
}

void SoakRun::writeOddEntry()
{
    const std::string address =
            draw(this->oddRandom.nextDouble() < RecordedShare ? support::recordedServerAddresses()
                                                              : support::oddServerAddresses(),
                 this->oddRandom);
    const double choice = this->oddRandom.nextDouble();
    if (choice < 0.15) {
        const std::string name = "odd-" + std::to_string(this->nextOddNumber++);
        const std::string host = draw(support::oddAddresses(), this->oddRandom);
        this->store.put("dotterelfield-hosts", name,
                        {{"failure_domain", "z-0"}, {"address", host}, {"peer_port", 9}});
        return this->runAfter(milliseconds(MinValueMs + ValueSpreadMs),
                              [this, name] { this->store.remove("dotterelfield-hosts", name); });
    }
    Json entry = this->oddServer->registrationEntry(this->oddRandom.nextDouble() < 0.2);
    if (this->oddRandom.nextDouble() < 0.3)
        entry = {{"service", this->oddServer->poolName()}};
    std::string text;
    if (choice < 0.75) {
        entry["address"] = address;
        text = entry.dump();
    } else {
        const std::vector<std::string> fields = {"service",      "address", "zone",
                                                 "slots",        "state",   "born",
                                                 "cold_left_ms", "seq",     "version"};
        text = withField(entry, draw(fields, this->oddRandom),
                         draw(support::oddJsonTexts(), this->oddRandom));
    }
    if (this->oddRandom.nextDouble() < 0.6)
        return this->store.putText("servers", this->oddServer->serverId(), text);
    const std::string id = "odd-" + std::to_string(this->nextOddNumber++);
    this->store.putText("servers", id, text);
    this->runAfter(milliseconds(MinValueMs + ValueSpreadMs),
                   [this, id] { this->store.remove("servers", id); });
}

std::string SoakRun::drawOddFrames()
{
    std::string bytes = support::RawConnection::upgradeRequest();
    const std::uint64_t count = this->oddRandom.nextBelow(MaxOddFrames);
    for (std::uint64_t frame = 0; frame < count; ++frame) {
        std::string payload = draw(support::oddFramePayloads(), this->oddRandom);
        if (this->oddRandom.nextDouble() < 0.3)
            payload = drawBytes(this->oddRandom);
        // Mostly whole binary messages; else any opcode, whole or not.
        const bool isBinary = this->oddRandom.nextDouble() < 0.7;
        const std::uint64_t first = isBinary ? 0x82 : this->oddRandom.nextBelow(256);
        bytes += support::RawConnection::frame(static_cast<unsigned char>(first), payload);
    }
    if (this->oddRandom.nextDouble() < 0.3)
        bytes.resize(this->oddRandom.nextBelow(bytes.size()));
    if (this->oddRandom.nextDouble() < 0.2)
        bytes += drawBytes(this->oddRandom);
    return bytes;
}

void SoakRun::playOddConnections()
{
    if (this->faultsEnded)
        return;
    const Host &host = this->hosts[this->oddRandom.nextBelow(this->hosts.size())];
    if (host.callerEndpoint) {
        const std::uint64_t port = this->oddRandom.nextBelow(4);
        const bool asPeer = port >= 2 && this->oddRandom.nextDouble() < 0.8;
        const std::string bytes =
                asPeer ? this->drawOddFrames() : draw(support::oddRequests(), this->oddRandom);
        const auto client = this->rawClients.emplace(this->rawClients.end(), this->loop,
                                                     port == 0   ? *host.callerEndpoint
                                                     : port == 1 ? host.operatorEndpoint
                                                                 : host.peerEndpoint);
        client->send(bytes);
        this->runAfter(milliseconds(1 + this->oddRandom.nextBelow(MaxConnectionMs)),
                       [this, client] { this->rawClients.erase(client); });
    }
    this->runAfter(milliseconds(1 + this->oddRandom.nextBelow(2 * MeanConnectionIntervalMs)),
                   [this] { this->playOddConnections(); });
}

void SoakRun::startFaultBesideOddValues()
{
    switch (this->random.nextBelow(10)) {
    case 0:
        return this->publishConfiguration();
    case 1:
        return this->drainServer();
    case 2:
        return this->restartInSeries();
    case 3:
    case 4:
        return this->startHostFault(this->random.nextBelow(this->hosts.size()));
    case 5:
        this->disturbAllHosts();
        this->store.setFault(StoreFault::OddResponses);
        return this->runAfter(this->randomFaultDuration(), [this] {
            this->store.setFault(StoreFault::None);
            this->disturbAllHosts();
        });
    default:
        break;
    }
    // Those after which a host still has an answer: a response that breaks off is passed on so.
    constexpr std::array<ServerFault, 4> FaultKinds = {
            ServerFault::RejectRequests, ServerFault::DropResponses, ServerFault::NeverRespond,
            ServerFault::OddResponses};
    SoakServer *server = this->activeServers[this->random.nextBelow(this->activeServers.size())];
    server->setFault(FaultKinds[this->random.nextBelow(FaultKinds.size())]);
    this->runAfter(this->randomFaultDuration(), [server] { server->setFault(ServerFault::None); });
}

void SoakRun::checkAnswered(const std::string &id, const SoakRequest &request)
{
    if (!request.hostInterrupted
        && this->shutDownAt.count({request.host, request.incarnation}) == 0)
        this->checker.addViolation("LOST: " + id + " has no answer from host "
                                   + std::to_string(request.host)
                                   + ", which was not killed or stopped");
}

} // namespace dotterel::soak
