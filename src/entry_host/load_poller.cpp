#include "entry_host/load_poller.h"

#include "coordination/load_poll_plan.h"
#include "coordination/load_report_codec.h"

namespace dotterel {

namespace {

constexpr Duration PollTimeout = std::chrono::seconds(2);
constexpr int StatusOk = 200;

} // namespace

LoadPoller::LoadPoller(HttpClient &client, HostId ownHost, Callback callback)
    : client(client)
    , ownHost(std::move(ownHost))
    , callback(std::move(callback))
{}

void LoadPoller::poll(const Configuration &configuration, const std::vector<HostId> &live)
{
    this->completedFetches.clear();
    for (const auto &[id, server] : configuration.servers) {
        const auto pool = configuration.pools.find(server.pool);
        const bool isModelServer =
                pool != configuration.pools.end() && pool->second.kind == PoolKind::Model;
        if (isModelServer && this->openFetches.count(id) == 0
            && pollsServer(id, this->ownHost, live))
            this->pollServer(server);
    }
}

void LoadPoller::pollServer(const BackendServer &server)
{
    HttpRequest request;
    request.endpoint = server.endpoint;
    request.target = "/v1/load";
    request.timeout = PollTimeout;
    const ServerId id = server.id;
    this->openFetches[id] = std::make_unique<HttpFetch>(
            this->client, request,
            [this, id](const std::optional<HttpResponse> &response, const HttpFailure &) {
                // The fetch must not be destroyed inside its own callback.
                this->completedFetches[id] = std::move(this->openFetches[id]);
                this->openFetches.erase(id);
                if (!response || response->status != StatusOk)
                    return;
                const auto report = parseLoadReport(response->body);
                if (report)
                    this->callback(id, *report);
            });
}

} // namespace dotterel
