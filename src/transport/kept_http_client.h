#pragma once

#include "transport/http_client.h"
#include "transport/http_message_parser.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace dotterel {

/// Counters of a KeptHttpClient.
struct KeptHttpClientCounts
{
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReused = 0;
    std::uint64_t foreignAnswers = 0; ///< Complete responses to other requests, discarded.
};

/// Connection pool settings of a KeptHttpClient.
struct KeptHttpClientLimits
{
    std::size_t maxIdlePerEndpoint = 32;
    /// Idle timeout assumed for a peer that sends no Keep-Alive header.
    Duration defaultIdleTime = std::chrono::seconds(4);
    /// Fraction of the peer's idle timeout during which an idle connection may be reused. The rest
    /// is a margin for network latency and differences between the clocks.
    double usedShareOfIdleTime = 0.6;
};

/// HTTP/1.1 client with a pool of persistent connections. A response that is delimited only by
/// the end of the connection is complete if the peer closes the connection without an error. A
/// connection is never reused after bytes beyond the response or after an incompletely sent
/// request.
class KeptHttpClient : public HttpSender
{
public:
    KeptHttpClient(EventLoop &loop, const KeptHttpClientLimits &limits);
    ~KeptHttpClient() override;
    KeptHttpClient(const KeptHttpClient &) = delete;
    KeptHttpClient &operator=(const KeptHttpClient &) = delete;

    std::unique_ptr<HttpCall> send(const HttpRequest &request, HttpListener &listener) override;

    /// Closes the idle connections to \a endpoint; busy ones stay open.
    void dropIdle(const Endpoint &endpoint);

    /// Returns the number of open connections to \a endpoint, busy or idle.
    std::size_t connectionsTo(const Endpoint &endpoint) const;

    const KeptHttpClientCounts &counts() const { return this->count; }

private:
    class Connection;
    class Call;
    using ConnectionPointer = std::shared_ptr<Connection>;

    ConnectionPointer takeIdle(const Endpoint &endpoint);
    void keep(const ConnectionPointer &connection, Duration reuseTime);
    void discard(Connection *connection);
    void sweep();

    EventLoop &loop;
    KeptHttpClientLimits limits;
    KeptHttpClientCounts count;
    std::map<Endpoint, std::list<ConnectionPointer>> idle; ///< Most recently used at the back.
    std::map<Connection *, ConnectionPointer> busy;
    EventLoop::TimerHandle sweepTimer;
};

} // namespace dotterel
