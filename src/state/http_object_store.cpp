#include "state/http_object_store.h"

#include "core/json_input.h"
#include <algorithm>
#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusTooLarge = 413;
/// A response to a watch that is later than the end of its wait by more than this is lost.
constexpr Duration MaxWatchResponseDelay = std::chrono::seconds(1);

std::string percentEncoded(const std::string &text)
{
    char *buffer = evhttp_uriencode(text.c_str(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result(buffer);
    std::free(buffer);
    return result;
}

std::uint64_t versionFromHeader(const HttpResponse &response)
{
    return std::strtoull(response.header("X-Version").c_str(), nullptr, 10);
}

StoreError errorFromStatus(int status, bool isWrite)
{
    switch (status) {
    case StatusNotFound:
        return StoreError::NotFound;
    case StatusPreconditionFailed:
        return StoreError::Conflict;
    case StatusTooLarge:
        return StoreError::TooLarge;
    default:
        // The protocol does not guarantee that a write with another status had no effect.
        return isWrite ? StoreError::UnknownOutcome : StoreError::Unavailable;
    }
}

ObjectStore::ReadResult readResult(const std::string &key,
                                   const tl::expected<HttpResponse, StoreError> &response)
{
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != StatusOk)
        return tl::unexpected(errorFromStatus(response->status, false));
    return StoredObject{key, response->body, versionFromHeader(*response)};
}

ObjectStore::WriteResult writeResult(const tl::expected<HttpResponse, StoreError> &response)
{
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != StatusOk)
        return tl::unexpected(errorFromStatus(response->status, true));
    return versionFromHeader(*response);
}

constexpr IntegerRange PortRange = {0, 65'535};

ObjectStore::ListResult parseObjects(const std::string &text)
{
    std::vector<StoredObject> objects;
    const nlohmann::json entries = parseJsonOrDiscard(text);
    if (!entries.is_array())
        return tl::unexpected(StoreError::Unavailable);
    try {
        for (const nlohmann::json &entry : entries) {
            objects.push_back({entry.at("key").get<std::string>(),
                               entry.at("value").get<std::string>(),
                               toUnsigned<std::uint64_t>(entry.at("version"))});
        }
    } catch (const nlohmann::json::exception &) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return objects;
}

HostListEntry parseHost(const nlohmann::json &entry)
{
    HostListEntry host;
    host.id = entry.at("id").get<std::string>();
    host.role = entry.at("role").get<std::string>();
    host.failureDomain = entry.at("failure_domain").get<std::string>();
    host.address = entry.at("address").get<std::string>();
    host.peerPort = static_cast<std::uint16_t>(integerOr(entry, "peer_port", 0, PortRange));
    host.operatorPort = static_cast<std::uint16_t>(integerOr(entry, "operator_port", 0, PortRange));
    host.leaving = entry.value("state", "live") == "leaving";
    return host;
}

HostList::Result parseHosts(const std::string &text)
{
    const nlohmann::json entries = parseJsonOrDiscard(text);
    if (!entries.is_array())
        return tl::unexpected(StoreError::Unavailable);
    std::vector<HostListEntry> hosts;
    for (const nlohmann::json &entry : entries) {
        // An entry that cannot be read costs itself only.
        try {
            HostListEntry host = parseHost(entry);
            if (isIpv4Address(host.address))
                hosts.push_back(std::move(host));
        } catch (const nlohmann::json::exception &) {
            continue;
        }
    }
    return hosts;
}

} // namespace

HttpObjectStore::HttpObjectStore(EventLoop &loop, HttpClient &client, const Endpoint &platform,
                                 Duration callTimeout, Metrics &metrics)
    : loop(loop)
    , client(client)
    , platform(platform)
    , callTimeout(callTimeout)
    , metrics(metrics)
{}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::read(const std::string &key, ReadCallback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    this->send(this->makeRequest("GET", "/v1/objects/" + percentEncoded(key)),
               [this, key, callback = std::move(callback)](const FetchResult &response) {
                   callback(readResult(key, response), this->loop.now());
               });
}

void HttpObjectStore::write(const std::string &key, const std::string &value,
                            std::uint64_t expectedVersion, WriteCallback callback)
{
    this->metrics.count(Counter::PlatformWrites, 1);
    HttpRequest request = this->makeRequest("PUT", "/v1/objects/" + percentEncoded(key));
    request.headers.emplace_back("X-Expected-Version", std::to_string(expectedVersion));
    request.body = std::make_shared<const std::string>(value);
    this->send(request, [this, callback = std::move(callback)](const FetchResult &response) {
        callback(writeResult(response), this->loop.now());
    });
}

void HttpObjectStore::remove(const std::string &key, std::uint64_t expectedVersion,
                             WriteCallback callback)
{
    this->metrics.count(Counter::PlatformWrites, 1);
    HttpRequest request = this->makeRequest("DELETE", "/v1/objects/" + percentEncoded(key));
    request.headers.emplace_back("X-Expected-Version", std::to_string(expectedVersion));
    this->send(request, [this, callback = std::move(callback)](const FetchResult &response) {
        callback(writeResult(response), this->loop.now());
    });
}

void HttpObjectStore::list(const std::string &prefix, ListCallback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    this->send(this->makeRequest("GET", "/v1/list?prefix=" + percentEncoded(prefix)),
               [this, callback = std::move(callback)](const FetchResult &response) {
                   if (!response)
                       callback(tl::unexpected(response.error()), this->loop.now());
                   else if (response->status != StatusOk)
                       callback(tl::unexpected(errorFromStatus(response->status, false)),
                                this->loop.now());
                   else
                       callback(parseObjects(response->body), this->loop.now());
               });
}

void HttpObjectStore::watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
                            ReadCallback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    const std::int64_t waitMilliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    HttpRequest request =
            this->makeRequest("GET", "/v1/watch?key=" + percentEncoded(key)
                                             + "&version=" + std::to_string(knownVersion)
                                             + "&wait_ms=" + std::to_string(waitMilliseconds));
    request.timeout = wait + std::min(request.timeout, MaxWatchResponseDelay);
    this->send(request, [this, key, callback = std::move(callback)](const FetchResult &response) {
        callback(readResult(key, response), this->loop.now());
    });
}

void HttpObjectStore::readHosts(Callback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    this->send(this->makeRequest("GET", "/v1/hosts"), [this, callback = std::move(callback)](
                                                              const FetchResult &response) {
        if (!response)
            callback(tl::unexpected(response.error()), this->loop.now());
        else if (response->status != StatusOk)
            callback(tl::unexpected(errorFromStatus(response->status, false)), this->loop.now());
        else
            callback(parseHosts(response->body), this->loop.now());
    });
}

HttpRequest HttpObjectStore::makeRequest(const std::string &method, const std::string &target) const
{
    HttpRequest request;
    request.endpoint = this->platform;
    request.method = method;
    request.target = target;
    request.timeout = this->callTimeout;
    return request;
}

void HttpObjectStore::send(const HttpRequest &request, FetchCallback callback)
{
    const bool isWrite = request.method != "GET";
    const auto position = this->fetches.emplace(this->fetches.end());
    *position = std::make_unique<HttpFetch>(
            this->client, request,
            [this, position, isWrite, callback = std::move(callback)](
                    const std::optional<HttpResponse> &response, const HttpFailure &failure) {
                // The fetch invokes this callback, so it can only be destroyed after the return.
                this->loop.disposeLater(std::shared_ptr<HttpFetch>(std::move(*position)));
                this->fetches.erase(position);
                if (response) {
                    callback(*response);
                    return;
                }
                this->metrics.count(Counter::PlatformErrors, 1);
                // Reads have no effect, so only a write can have an unknown outcome.
                const bool mayHaveRun = isWrite && failure.verdict != Verdict::NotRun;
                callback(tl::unexpected(mayHaveRun ? StoreError::UnknownOutcome
                                                   : StoreError::Unavailable));
            });
}

} // namespace dotterel
