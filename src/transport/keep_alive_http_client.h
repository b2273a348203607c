#pragma once

#include "transport/http_client.h"
#include "transport/http_message_parser.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace dotterel {

/// Counters of a KeepAliveHttpClient.
struct KeepAliveHttpClientCounts
{
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReused = 0;
    std::uint64_t mismatchedResponses = 0; ///< Responses to other requests, discarded.
};

/// Connection pool settings of a KeepAliveHttpClient.
struct KeepAliveHttpClientLimits
{
    std::size_t maxIdlePerEndpoint = 32;
    /// Idle timeout assumed for a peer that sends no Keep-Alive header.
    Duration defaultIdleTimeout = std::chrono::seconds(4);
    /// Fraction of the peer's idle timeout during which an idle connection may be reused. The rest
    /// is a margin for network latency and differences between the clocks.
    double reusableFractionOfIdleTimeout = 0.6;
    /// Limits on what precedes a response: interim responses and responses to other requests.
    std::size_t maxSkippedBytes = 1024UL * 1024;
    std::size_t maxSkippedMessages = 100;
};

/// HTTP/1.1 client with a pool of persistent connections. A response that is delimited only by
/// the end of the connection is complete if the peer closes the connection without an error. A
/// connection is never reused after bytes beyond the response or after an incompletely sent
/// request.
class KeepAliveHttpClient : public HttpSender
{
public:
    KeepAliveHttpClient(EventLoop &loop, const KeepAliveHttpClientLimits &limits);
    ~KeepAliveHttpClient() override;
    KeepAliveHttpClient(const KeepAliveHttpClient &) = delete;
    KeepAliveHttpClient &operator=(const KeepAliveHttpClient &) = delete;

    std::unique_ptr<HttpCall> send(const HttpRequest &request,
                                   HttpResponseListener &listener) override;

    /// Closes the idle connections to \a endpoint; busy ones stay open.
    void closeIdleConnections(const Endpoint &endpoint);

    /// Returns the number of open connections to \a endpoint, busy or idle.
    std::size_t connectionCount(const Endpoint &endpoint) const;

    const KeepAliveHttpClientCounts &counts() const { return this->totals; }

private:
    class Connection;
    class Call;
    using ConnectionPointer = std::shared_ptr<Connection>;

    ConnectionPointer takeIdleConnection(const Endpoint &endpoint);
    void returnToPool(const ConnectionPointer &connection, Duration reuseTime);
    void discardConnection(Connection *connection);
    void discardExpired();

    EventLoop &loop;
    KeepAliveHttpClientLimits limits;
    KeepAliveHttpClientCounts totals;
    /// Most recently used connections at the back of each list.
    std::map<Endpoint, std::list<ConnectionPointer>> idleConnections;
    std::map<Connection *, ConnectionPointer> busyConnections;
    EventLoop::TimerHandle expiryTimer;
};

} // namespace dotterel
