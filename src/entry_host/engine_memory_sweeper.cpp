#include "entry_host/engine_memory_sweeper.h"

namespace dotterel {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(2);
constexpr Duration RequestTimeout = std::chrono::milliseconds(1'500);
constexpr int StatusOk = 200;
const std::string AllocationsPath = "/v1/allocations";

} // namespace

EngineMemorySweeper::EngineMemorySweeper(EventLoop &loop, HttpClient &client,
                                         const Membership &membership,
                                         const BackendDirectory &directory, Metrics &metrics,
                                         EventLog &log)
    : loop(loop)
    , client(client)
    , directory(directory)
    , metrics(metrics)
    , log(log)
    , sweeper(membership)
    , sweepTimer(loop.every(SweepInterval, [this] { this->sweep(); }))
{}

void EngineMemorySweeper::sweep()
{
    for (const ServerId &server : this->sweeper.assignedServers(this->directory.modelServers()))
        this->listAllocations(server);
}

void EngineMemorySweeper::listAllocations(const ServerId &server)
{
    HttpRequest request;
    request.endpoint = this->directory.find(server)->endpoint;
    request.target = AllocationsPath;
    request.timeout = RequestTimeout;
    this->sendRequest(request, [this, server](const HttpResponse &response) {
        this->onAllocationsListed(server, response.body);
    });
}

void EngineMemorySweeper::onAllocationsListed(const ServerId &server, const std::string &text)
{
    const tl::expected<std::vector<EngineAllocation>, std::string> allocations =
            decodeAllocations(text);
    if (!allocations)
        return;
    for (const AllocationId &id : this->sweeper.orphanedAllocations(*allocations))
        this->releaseAllocation(server, id);
}

void EngineMemorySweeper::releaseAllocation(const ServerId &server, const AllocationId &id)
{
    const BackendServer *backendServer = this->directory.find(server);
    if (backendServer == nullptr)
        return;
    HttpRequest request;
    request.endpoint = backendServer->endpoint;
    request.method = "DELETE";
    request.target = AllocationsPath + "/" + id;
    request.timeout = RequestTimeout;
    // The next sweep repeats a release that failed.
    this->sendRequest(request, [this, server, id](const HttpResponse &) {
        this->metrics.count(Counter::AllocationsSwept, 1);
        this->log.write(Event::AllocationReleased, {{"server", server}, {"allocation", id}});
    });
}

void EngineMemorySweeper::sendRequest(const HttpRequest &request,
                                      std::function<void(const HttpResponse &)> onSuccess)
{
    const auto fetch = this->openFetches.emplace(this->openFetches.end());
    *fetch = std::make_unique<HttpFetch>(
            this->client, request,
            [this, fetch, onSuccess = std::move(onSuccess)](
                    const std::optional<HttpResponse> &response, const HttpFailure &) {
                if (response && response->status == StatusOk)
                    onSuccess(*response);
                this->loop.disposeLater(std::shared_ptr<HttpFetch>(std::move(*fetch)));
                this->openFetches.erase(fetch);
            });
}

} // namespace dotterel
