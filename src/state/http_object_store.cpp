#include "state/http_object_store.h"

#include <event2/http.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConditionFailed = 412;
constexpr int StatusTooLarge = 413;

std::string encoded(const std::string &text)
{
    char *escaped = evhttp_uriencode(text.c_str(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result(escaped);
    std::free(escaped);
    return result;
}

std::uint64_t versionOf(const HttpResponse &response)
{
    return std::strtoull(response.header("X-Version").c_str(), nullptr, 10);
}

StoreError errorOf(int status, bool isWrite)
{
    switch (status) {
    case StatusNotFound:
        return StoreError::NotFound;
    case StatusConditionFailed:
        return StoreError::Conflict;
    case StatusTooLarge:
        return StoreError::TooLarge;
    default:
        // The protocol does not promise that a write with another status had no effect.
        return isWrite ? StoreError::UnknownOutcome : StoreError::Unavailable;
    }
}

ObjectStore::ReadResult readResult(const std::string &key,
                                   const tl::expected<HttpResponse, StoreError> &answer)
{
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status != StatusOk)
        return tl::unexpected(errorOf(answer->status, false));
    return StoredObject{key, answer->body, versionOf(*answer)};
}

ObjectStore::WriteResult writeResult(const tl::expected<HttpResponse, StoreError> &answer)
{
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status != StatusOk)
        return tl::unexpected(errorOf(answer->status, true));
    return versionOf(*answer);
}

ObjectStore::ListResult objectsOf(const std::string &text)
{
    std::vector<StoredObject> objects;
    try {
        for (const nlohmann::json &item : nlohmann::json::parse(text)) {
            objects.push_back({item.at("key").get<std::string>(),
                               item.at("value").get<std::string>(),
                               item.at("version").get<std::uint64_t>()});
        }
    } catch (const nlohmann::json::exception &) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return objects;
}

HostList::Result hostsOf(const std::string &text)
{
    std::vector<ListedHost> hosts;
    try {
        for (const nlohmann::json &item : nlohmann::json::parse(text)) {
            ListedHost host;
            host.id = item.at("id").get<std::string>();
            host.role = item.at("role").get<std::string>();
            host.failureDomain = item.at("failure_domain").get<std::string>();
            host.address = item.at("address").get<std::string>();
            host.peerPort = item.value("peer_port", std::uint16_t{0});
            host.operatorPort = item.value("operator_port", std::uint16_t{0});
            host.leaving = item.value("state", "live") == "leaving";
            hosts.push_back(host);
        }
    } catch (const nlohmann::json::exception &) {
        return tl::unexpected(StoreError::Unavailable);
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
    this->call(this->requestFor("GET", "/v1/objects/" + encoded(key)),
               [this, key, callback = std::move(callback)](const Answer &answer) {
                   callback(readResult(key, answer), this->loop.now());
               });
}

void HttpObjectStore::write(const std::string &key, const std::string &value,
                            std::uint64_t expectedVersion, WriteCallback callback)
{
    this->metrics.count(Counter::PlatformWrites, 1);
    HttpRequest request = this->requestFor("PUT", "/v1/objects/" + encoded(key));
    request.headers.emplace_back("X-Expected-Version", std::to_string(expectedVersion));
    request.body = std::make_shared<const std::string>(value);
    this->call(request, [this, callback = std::move(callback)](const Answer &answer) {
        callback(writeResult(answer), this->loop.now());
    });
}

void HttpObjectStore::remove(const std::string &key, std::uint64_t expectedVersion,
                             WriteCallback callback)
{
    this->metrics.count(Counter::PlatformWrites, 1);
    HttpRequest request = this->requestFor("DELETE", "/v1/objects/" + encoded(key));
    request.headers.emplace_back("X-Expected-Version", std::to_string(expectedVersion));
    this->call(request, [this, callback = std::move(callback)](const Answer &answer) {
        callback(writeResult(answer), this->loop.now());
    });
}

void HttpObjectStore::list(const std::string &prefix, ListCallback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    this->call(this->requestFor("GET", "/v1/list?prefix=" + encoded(prefix)),
               [this, callback = std::move(callback)](const Answer &answer) {
                   if (!answer)
                       callback(tl::unexpected(answer.error()), this->loop.now());
                   else if (answer->status != StatusOk)
                       callback(tl::unexpected(errorOf(answer->status, false)), this->loop.now());
                   else
                       callback(objectsOf(answer->body), this->loop.now());
               });
}

void HttpObjectStore::watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
                            ReadCallback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    const std::int64_t waitMilliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    HttpRequest request = this->requestFor(
            "GET", "/v1/watch?key=" + encoded(key) + "&version=" + std::to_string(knownVersion)
                           + "&wait_ms=" + std::to_string(waitMilliseconds));
    request.timeout += wait;
    this->call(request, [this, key, callback = std::move(callback)](const Answer &answer) {
        callback(readResult(key, answer), this->loop.now());
    });
}

void HttpObjectStore::hosts(Callback callback)
{
    this->metrics.count(Counter::PlatformReads, 1);
    this->call(this->requestFor("GET", "/v1/hosts"),
               [this, callback = std::move(callback)](const Answer &answer) {
                   if (!answer)
                       callback(tl::unexpected(answer.error()), this->loop.now());
                   else if (answer->status != StatusOk)
                       callback(tl::unexpected(errorOf(answer->status, false)), this->loop.now());
                   else
                       callback(hostsOf(answer->body), this->loop.now());
               });
}

HttpRequest HttpObjectStore::requestFor(const std::string &method, const std::string &target) const
{
    HttpRequest request;
    request.endpoint = this->platform;
    request.method = method;
    request.target = target;
    request.timeout = this->callTimeout;
    return request;
}

void HttpObjectStore::call(const HttpRequest &request, AnswerCallback callback)
{
    const bool isWrite = request.method != "GET";
    const auto place = this->fetches.emplace(this->fetches.end());
    *place = std::make_unique<HttpFetch>(
            this->client, request,
            [this, place, isWrite, callback = std::move(callback)](
                    const std::optional<HttpResponse> &response, const HttpFailure &failure) {
                // The fetch is running this callback and is freed after it.
                this->loop.disposeLater(std::shared_ptr<HttpFetch>(std::move(*place)));
                this->fetches.erase(place);
                if (response) {
                    callback(*response);
                    return;
                }
                this->metrics.count(Counter::PlatformErrors, 1);
                // A read changes nothing, so only the outcome of a write can be in doubt.
                const bool inDoubt = isWrite && failure.verdict != Verdict::NotRun;
                callback(tl::unexpected(inDoubt ? StoreError::UnknownOutcome
                                                : StoreError::Unavailable));
            });
}

} // namespace dotterel
