#pragma once

#include "core/metrics.h"
#include "state/object_store.h"
#include "transport/http_client.h"

#include <list>
#include <memory>

namespace dotterel {

/// HTTP client of the platform's object API and host list.
///
/// - `GET /v1/objects/KEY`: 200 with the value and `X-Version`, or 404.
/// - `PUT /v1/objects/KEY` with `X-Expected-Version`: 200 with `X-Version`, or 412.
/// - `DELETE /v1/objects/KEY` with `X-Expected-Version`: 200, 404 or 412.
/// - `GET /v1/list?prefix=PREFIX`: 200 with a JSON array of objects with key, value and version.
/// - `GET /v1/watch?key=KEY&version=V&wait_ms=W`: as for GET of an object, or 404 after W ms.
/// - `GET /v1/hosts`: 200 with a JSON array of hosts.
class HttpObjectStore
    : public ObjectStore
    , public HostList
{
public:
    HttpObjectStore(EventLoop &loop, HttpClient &client, const Endpoint &platform,
                    Duration callTimeout, Metrics &metrics);
    ~HttpObjectStore() override;

    void read(const std::string &key, ReadCallback callback) override;
    void write(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
               WriteCallback callback) override;
    void remove(const std::string &key, std::uint64_t expectedVersion,
                WriteCallback callback) override;
    void list(const std::string &prefix, ListCallback callback) override;
    void watch(const std::string &key, std::uint64_t knownVersion, Duration wait,
               ReadCallback callback) override;
    void readHosts(Callback callback) override;

private:
    using FetchResult = tl::expected<HttpResponse, StoreError>;
    using FetchCallback = std::function<void(const FetchResult &)>;

    HttpRequest makeRequest(const std::string &method, const std::string &target) const;
    void send(const HttpRequest &request, FetchCallback callback);

    EventLoop &loop;
    HttpClient &client;
    Endpoint platform;
    Duration callTimeout;
    Metrics &metrics;
    std::list<std::unique_ptr<HttpFetch>> fetches;
};

} // namespace dotterel
