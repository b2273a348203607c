#include "entry_host/draining_server_prober.h"

#include "core/hashing.h"
#include "core/json_input.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr Duration ProbeInterval = std::chrono::seconds(1);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(900);
constexpr int StatusOk = 200;

/// Returns whether the server is still draining according to \a response. A missing or invalid
/// response counts as draining.
bool reportsDraining(const std::optional<HttpResponse> &response)
{
    if (!response || response->status != StatusOk)
        return true;
    const nlohmann::json json = parseJsonOrDiscard(response->body);
    const bool isValid =
            json.is_object() && json.contains("draining") && json["draining"].is_boolean();
    return !isValid || json["draining"].get<bool>();
}

} // namespace

DrainingServerProber::DrainingServerProber(EventLoop &loop, HttpClient &client,
                                           HostIdentity ownIdentity, BackendDirectory &directory)
    : loop(loop)
    , client(client)
    , ownIdentity(std::move(ownIdentity))
    , directory(directory)
{}

void DrainingServerProber::probeIfDue(const std::vector<ServerId> &draining,
                                      const std::vector<MemberRecord> &live)
{
    const TimePoint now = this->loop.now();
    if (now < this->nextProbe)
        return;
    this->nextProbe = now + ProbeInterval;
    this->returnDecision.retainOnly(draining);
    if (draining.empty())
        return;
    std::vector<std::string> hosts;
    hosts.reserve(live.size());
    for (const MemberRecord &member : live)
        hosts.push_back(member.identity.host);
    for (const ServerId &server : draining) {
        if (hosts[rendezvousOwner(server, hosts)] == this->ownIdentity.host)
            this->probe(server);
    }
}

void DrainingServerProber::probe(const ServerId &server)
{
    const BackendServer *backendServer = this->directory.find(server);
    if (backendServer == nullptr || this->probes.count(server) > 0)
        return;
    HttpRequest request;
    request.endpoint = backendServer->endpoint;
    request.target = "/v1/load";
    request.timeout = ProbeTimeout;
    std::unique_ptr<HttpFetch> &fetch = this->probes[server];
    fetch = std::make_unique<HttpFetch>(
            this->client, request,
            [this, server](const std::optional<HttpResponse> &response, const HttpFailure &) {
                this->loop.disposeLater(
                        std::shared_ptr<HttpFetch>(std::move(this->probes.at(server))));
                this->probes.erase(server);
                if (this->returnDecision.onDrainReport(server, reportsDraining(response)))
                    this->directory.clearDraining(server);
            });
}

} // namespace dotterel
