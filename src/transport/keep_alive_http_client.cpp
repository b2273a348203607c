#include "transport/keep_alive_http_client.h"

#include "transport/keep_alive_http_client_connection.h"

#include "transport/socket_options.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <optional>
#include <sys/socket.h>

namespace dotterel {

namespace {

/// How often idle connections are checked for expiry; short compared to any idle timeout.
constexpr Duration ExpiryCheckInterval = std::chrono::milliseconds(500);

} // namespace

/// Handle of a call, owned by the caller.
class KeepAliveHttpClient::Call : public HttpCall
{
public:
    explicit Call(const ConnectionPointer &connection, std::uint64_t callId)
        : connection(connection)
        , callId(callId)
    {}
    ~Call() override
    {
        if (const ConnectionPointer liveConnection = this->connection.lock())
            if (liveConnection->callId == this->callId)
                liveConnection->cancel();
    }
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    void pause(bool paused) override
    {
        if (const ConnectionPointer liveConnection = this->connection.lock())
            if (liveConnection->callId == this->callId)
                liveConnection->pause(paused);
    }

private:
    std::weak_ptr<Connection> connection;
    std::uint64_t callId;
};

KeepAliveHttpClient::KeepAliveHttpClient(EventLoop &loop, const KeepAliveHttpClientLimits &limits)
    : loop(loop)
    , limits(limits)
    , expiryTimer(loop.every(ExpiryCheckInterval, [this] { this->discardExpired(); }))
{}

KeepAliveHttpClient::~KeepAliveHttpClient()
{
    for (const auto &[endpoint, connections] : this->idleConnections) {
        for (const ConnectionPointer &connection : connections)
            connection->shutDown();
    }
    for (const auto &[key, connection] : this->busyConnections)
        connection->shutDown();
}

std::unique_ptr<HttpCall> KeepAliveHttpClient::send(const HttpRequest &request,
                                                    HttpResponseListener &listener)
{
    ConnectionPointer connection =
            request.requireNewConnection ? nullptr : this->takeIdleConnection(request.endpoint);
    const bool isReused = connection != nullptr;
    if (isReused) {
        ++this->totals.connectionsReused;
    } else {
        ++this->totals.connectionsOpened;
        connection = std::make_shared<Connection>(*this, request.endpoint);
    }
    this->busyConnections.emplace(connection.get(), connection);
    try {
        connection->start(request, listener, isReused);
    } catch (...) {
        // The listener may be gone when bytes arrive.
        this->discardConnection(connection.get());
        throw;
    }
    // An immediate failure is reported from the event loop, since the caller has no handle yet.
    if (!isReused && !connection->connect())
        connection->scheduleConnectFailure();
    return std::make_unique<Call>(connection, connection->callId);
}

void KeepAliveHttpClient::closeIdleConnections(const Endpoint &endpoint)
{
    const auto found = this->idleConnections.find(endpoint);
    if (found == this->idleConnections.end())
        return;
    const std::list<ConnectionPointer> connections = std::move(found->second);
    this->idleConnections.erase(found);
    for (const ConnectionPointer &connection : connections) {
        connection->shutDown();
        this->loop.disposeLater(connection);
    }
}

std::size_t KeepAliveHttpClient::connectionCount(const Endpoint &endpoint) const
{
    const auto found = this->idleConnections.find(endpoint);
    const std::size_t idleCount = found == this->idleConnections.end() ? 0 : found->second.size();
    return idleCount
           + static_cast<std::size_t>(std::count_if(
                   this->busyConnections.begin(), this->busyConnections.end(),
                   [&endpoint](const auto &entry) { return entry.first->endpoint() == endpoint; }));
}

KeepAliveHttpClient::ConnectionPointer
KeepAliveHttpClient::takeIdleConnection(const Endpoint &endpoint)
{
    const auto found = this->idleConnections.find(endpoint);
    if (found == this->idleConnections.end())
        return nullptr;
    const TimePoint now = this->loop.now();
    while (!found->second.empty()) {
        ConnectionPointer connection = found->second.back();
        found->second.pop_back();
        if (connection->reusableUntil > now)
            return connection;
        connection->shutDown();
        this->loop.disposeLater(connection);
    }
    this->idleConnections.erase(found);
    return nullptr;
}

void KeepAliveHttpClient::returnToPool(const ConnectionPointer &connection, Duration reuseTime)
{
    connection->reusableUntil = this->loop.now() + reuseTime;
    this->busyConnections.erase(connection.get());
    std::list<ConnectionPointer> &endpointIdleConnections =
            this->idleConnections[connection->endpoint()];
    endpointIdleConnections.push_back(connection);
    if (endpointIdleConnections.size() > this->limits.maxIdlePerEndpoint) {
        const ConnectionPointer oldest = endpointIdleConnections.front();
        endpointIdleConnections.pop_front();
        oldest->shutDown();
        this->loop.disposeLater(oldest);
    }
}

void KeepAliveHttpClient::discardConnection(Connection *connection)
{
    const ConnectionPointer liveConnection = connection->shared_from_this();
    connection->shutDown();
    this->busyConnections.erase(connection);
    const auto found = this->idleConnections.find(connection->endpoint());
    if (found != this->idleConnections.end()) {
        found->second.remove(liveConnection);
        if (found->second.empty())
            this->idleConnections.erase(found);
    }
    // A connection must not be freed from inside one of its own callbacks.
    this->loop.disposeLater(liveConnection);
}

void KeepAliveHttpClient::discardExpired()
{
    const TimePoint now = this->loop.now();
    std::vector<ConnectionPointer> expiredConnections;
    for (const auto &[endpoint, connections] : this->idleConnections) {
        for (const ConnectionPointer &connection : connections) {
            if (connection->reusableUntil <= now)
                expiredConnections.push_back(connection);
        }
    }
    for (const ConnectionPointer &connection : expiredConnections)
        this->discardConnection(connection.get());
}

} // namespace dotterel
