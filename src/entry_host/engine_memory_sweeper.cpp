#include "entry_host/engine_memory_sweeper.h"

namespace dotterel {

namespace {

constexpr Duration SweepInterval = std::chrono::seconds(2);
constexpr Duration CallTimeout = std::chrono::milliseconds(1'500);
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
    , decision(membership)
    , timer(loop.every(SweepInterval, [this] { this->sweep(); }))
{}

void EngineMemorySweeper::sweep()
{
    for (const ServerId &server : this->decision.assignedServers(this->directory.modelServers()))
        this->list(server);
}

void EngineMemorySweeper::list(const ServerId &server)
{
    HttpRequest request;
    request.endpoint = this->directory.find(server)->endpoint;
    request.target = AllocationsPath;
    request.timeout = CallTimeout;
    this->send(request, [this, server](const HttpResponse &response) {
        this->onListed(server, response.body);
    });
}

void EngineMemorySweeper::onListed(const ServerId &server, const std::string &text)
{
    const tl::expected<std::vector<EngineAllocation>, std::string> allocations =
            decodeAllocations(text);
    if (!allocations)
        return;
    for (const AllocationId &id : this->decision.orphanedAllocations(*allocations))
        this->release(server, id);
}

void EngineMemorySweeper::release(const ServerId &server, const AllocationId &id)
{
    const BackendServer *known = this->directory.find(server);
    if (known == nullptr)
        return;
    HttpRequest request;
    request.endpoint = known->endpoint;
    request.method = "DELETE";
    request.target = AllocationsPath + "/" + id;
    request.timeout = CallTimeout;
    // The next sweep repeats a release that failed.
    this->send(request, [this, server, id](const HttpResponse &) {
        this->metrics.count(Counter::AllocationsSwept, 1);
        this->log.write(Event::AllocationReleased, {{"server", server}, {"allocation", id}});
    });
}

void EngineMemorySweeper::send(const HttpRequest &request,
                               std::function<void(const HttpResponse &)> onAnswer)
{
    const auto place = this->calls.emplace(this->calls.end());
    *place = std::make_unique<HttpFetch>(
            this->client, request,
            [this, place, onAnswer = std::move(onAnswer)](
                    const std::optional<HttpResponse> &response, const HttpFailure &) {
                if (response && response->status == StatusOk)
                    onAnswer(*response);
                this->loop.disposeLater(std::shared_ptr<HttpFetch>(std::move(*place)));
                this->calls.erase(place);
            });
}

} // namespace dotterel
