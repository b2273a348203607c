#pragma once

#include "transport/http_client.h"
#include "transport/http_message_parser.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace dotterel {

/// Counts of what a KeptHttpClient did.
struct KeptHttpClientCounts
{
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsReused = 0;
    std::uint64_t foreignAnswers = 0; ///< Whole answers to other requests, dropped.
};

/// Limits of a KeptHttpClient.
struct KeptHttpClientLimits
{
    std::size_t maxIdlePerEndpoint = 32;
    /// Idle time of a connection whose peer states none.
    Duration defaultIdleTime = std::chrono::seconds(4);
    /// Share of the stated idle time during which a connection is used again: the peer's clock and
    /// the way there take some of it.
    double usedShareOfIdleTime = 0.6;
};

/// Sends HTTP/1.1 requests over kept connections. An answer that only the end of the connection
/// delimits is whole if that end is orderly. A connection with bytes after the answer, or with a
/// request that was not sent to its end, is never used again.
class KeptHttpClient : public HttpSender
{
public:
    KeptHttpClient(EventLoop &loop, const KeptHttpClientLimits &limits);
    ~KeptHttpClient() override;
    KeptHttpClient(const KeptHttpClient &) = delete;
    KeptHttpClient &operator=(const KeptHttpClient &) = delete;

    std::unique_ptr<HttpCall> send(const HttpRequest &request, HttpListener &listener) override;

    /// Closes the idle connections to \a endpoint.
    void dropIdle(const Endpoint &endpoint);

    /// Open connections to \a endpoint, busy or idle.
    std::size_t connectionsTo(const Endpoint &endpoint) const;

    /// What was done so far.
    const KeptHttpClientCounts &counts() const { return this->count; }

private:
    class Connection;
    class Call;
    using ConnectionPointer = std::shared_ptr<Connection>;

    ConnectionPointer takeIdle(const Endpoint &endpoint);
    void keep(const ConnectionPointer &connection, Duration idleTime);
    void discard(Connection *connection);
    void sweep();

    EventLoop &loop;
    KeptHttpClientLimits limits;
    KeptHttpClientCounts count;
    std::map<Endpoint, std::list<ConnectionPointer>> idle; ///< The most recent one at the back.
    std::map<Connection *, ConnectionPointer> busy;
    EventLoop::TimerHandle sweepTimer;
};

} // namespace dotterel
