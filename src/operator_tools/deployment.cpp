#include "operator_tools/deployment.h"

#include <memory>

namespace dotterel {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;

std::string failureText(const HttpFailure &failure)
{
    switch (failure.kind) {
    case HttpFailureKind::ConnectFailed:
        return "cannot connect";
    case HttpFailureKind::Timeout:
        return "no answer in time";
    case HttpFailureKind::ConnectionLost:
        return "connection lost";
    case HttpFailureKind::MalformedResponse:
        return "malformed answer";
    case HttpFailureKind::ResponseTooLarge:
        return "the response is too large";
    case HttpFailureKind::ResponseTruncated:
        break;
    }
    return "the answer broke off";
}

tl::expected<HostStatus, std::string> statusOf(const std::optional<HttpResponse> &response,
                                               const HttpFailure &failure)
{
    if (!response)
        return tl::unexpected(failureText(failure));
    if (response->status != StatusOk)
        return tl::unexpected("answered with status " + std::to_string(response->status));
    return hostStatusFromJson(response->body).map_error([](const std::string &) {
        return std::string("malformed answer");
    });
}

} // namespace

Deployment::Deployment(EventLoop &loop, HttpClient &client, const Endpoint &platform,
                       Duration timeout)
    : loop(loop)
    , client(client)
    , timeout(timeout)
    , store(loop, client, platform, timeout, this->metrics)
    , repository(this->store)
{}

tl::expected<Configuration, std::string> Deployment::load()
{
    tl::expected<Configuration, std::string> result = Configuration{};
    bool done = false;
    this->repository.load([&](const tl::expected<Configuration, std::string> &loaded) {
        result = loaded;
        done = true;
    });
    this->runUntil(done);
    return result;
}

tl::expected<std::uint64_t, std::string> Deployment::replace(const Configuration &configuration,
                                                             std::uint64_t baseVersion)
{
    tl::expected<std::uint64_t, std::string> result = 0;
    bool done = false;
    this->repository.replace(configuration, baseVersion,
                             [&](const tl::expected<std::uint64_t, std::string> &stored) {
                                 result = stored;
                                 done = true;
                             });
    this->runUntil(done);
    return result;
}

tl::expected<std::vector<HostListEntry>, std::string> Deployment::hosts()
{
    tl::expected<std::vector<HostListEntry>, std::string> result;
    bool done = false;
    this->store.readHosts([&](const HostList::Result &list, TimePoint) {
        if (list)
            result = *list;
        else
            result = tl::unexpected("the list of hosts cannot be read: "
                                    + std::string(storeErrorName(list.error())));
        done = true;
    });
    this->runUntil(done);
    return result;
}

std::vector<HostReading> Deployment::readStatus(const std::vector<HostListEntry> &hosts)
{
    std::vector<HostReading> readings;
    readings.reserve(hosts.size());
    for (const HostListEntry &host : hosts)
        readings.push_back({host, tl::unexpected(std::string("no operator address"))});
    std::vector<std::unique_ptr<HttpFetch>> fetches;
    std::size_t open = 0;
    for (HostReading &reading : readings) {
        if (reading.host.operatorPort == 0)
            continue;
        ++open;
        fetches.push_back(std::make_unique<HttpFetch>(
                this->client, this->requestTo(reading.host, "GET", "/status"),
                [&](const std::optional<HttpResponse> &response, const HttpFailure &failure) {
                    reading.status = statusOf(response, failure);
                    --open;
                }));
    }
    while (open > 0)
        this->loop.runOnce(true);
    return readings;
}

tl::expected<void, std::string> Deployment::drain(const HostListEntry &host)
{
    const auto answer = this->call(this->requestTo(host, "POST", "/drain"));
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status != StatusAccepted)
        return tl::unexpected("answered with status " + std::to_string(answer->status));
    return {};
}

tl::expected<HttpResponse, std::string> Deployment::call(const HttpRequest &request)
{
    tl::expected<HttpResponse, std::string> result;
    bool done = false;
    const HttpFetch fetch(
            this->client, request,
            [&](const std::optional<HttpResponse> &response, const HttpFailure &failure) {
                if (response)
                    result = *response;
                else
                    result = tl::unexpected(failureText(failure));
                done = true;
            });
    this->runUntil(done);
    return result;
}

HttpRequest Deployment::requestTo(const HostListEntry &host, const std::string &method,
                                  const std::string &target) const
{
    HttpRequest request;
    request.endpoint = {host.address, host.operatorPort};
    request.method = method;
    request.target = target;
    request.timeout = this->timeout;
    return request;
}

void Deployment::runUntil(const bool &done)
{
    while (!done)
        this->loop.runOnce(true);
}

} // namespace dotterel
