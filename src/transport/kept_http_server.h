#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_message_parser.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evconnlistener;
struct sockaddr;

namespace dotterel {

/// Names one request of a KeptHttpServer; never used again.
using HttpCallId = std::uint64_t;

/// Hears what the peers of a KeptHttpServer do.
class HttpCallHandler
{
public:
    virtual ~HttpCallHandler() = default;

    /// A whole request arrived. It is answered by reply() or startReply() of the server.
    virtual void onHttpRequest(HttpCallId call, HttpHead &&head,
                               std::shared_ptr<const std::string> body) = 0;

    /// The peer closed its connection before the answer ended; the call is over.
    virtual void onHttpPeerGone(HttpCallId call) = 0;

    /// The peer has taken every byte of the answer that was sent so far.
    virtual void onHttpDrained(HttpCallId call) = 0;

    /// The server itself refused a request with \a status.
    virtual void onHttpRejected(int status) = 0;
};

/// What a KeptHttpServer accepts.
struct HttpServerLimits
{
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::size_t maxBufferedBytes = 64UL * 1024 * 1024; ///< Bodies of all requests together.
    std::size_t maxConnections = 3'000;
    Duration headTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// HTTP/1.1 server that passes bodies and streamed answers on byte for byte. evhttp serves the
/// product's own interfaces; see docs/design/platform.md for what it lacks here.
class KeptHttpServer
{
public:
    /// Listens on \a endpoint; port 0 takes a free one. Throws std::runtime_error if it cannot.
    KeptHttpServer(EventLoop &loop, const Endpoint &endpoint, const HttpServerLimits &limits,
                   HttpCallHandler &handler);
    ~KeptHttpServer();
    KeptHttpServer(const KeptHttpServer &) = delete;
    KeptHttpServer &operator=(const KeptHttpServer &) = delete;

    /// The address and port in use.
    Endpoint endpoint() const { return this->boundEndpoint; }

    /// Replaces the limits, for what arrives from now on.
    void setLimits(const HttpServerLimits &newLimits) { this->limits = newLimits; }

    /// The limits in force.
    const HttpServerLimits &currentLimits() const { return this->limits; }

    /// Sends a whole answer.
    void reply(HttpCallId call, int status, const HttpHeaders &headers, std::string_view body);

    /// Sends the head of an answer whose body follows by sendPart(); chunked without \a length.
    void startReply(HttpCallId call, int status, const HttpHeaders &headers,
                    std::optional<std::uint64_t> length);

    /// Sends bytes of the body.
    void sendPart(HttpCallId call, std::string_view bytes);

    /// Ends an answer that startReply() began.
    void endReply(HttpCallId call);

    /// Closes the connection so that the answer does not look whole.
    void abortReply(HttpCallId call);

    /// Bytes of the answer that the peer has not taken yet.
    std::size_t unsentBytes(HttpCallId call) const;

    /// Asks peers to close their connections with each answer from now on.
    void closeAfterReplies() { this->closing = true; }

    /// Ends the connections that are idle. A request that crosses the end is not answered: its
    /// caller sees that it was not read.
    void closeIdle();

    /// Stops listening; open connections go on.
    void stopListening();

    /// Returns true if no request is being read or answered and every answer has left.
    bool idle() const;

    /// Open connections.
    std::size_t connections() const { return this->open.size(); }

private:
    class Connection;

    static void accepted(evconnlistener *source, int descriptor, sockaddr *address, int length,
                         void *self);
    Connection *find(HttpCallId call) const;
    void sweep();
    void closed(std::uint64_t connection);

    EventLoop &loop;
    HttpServerLimits limits;
    HttpCallHandler &handler;
    evconnlistener *listener;
    Endpoint boundEndpoint;
    bool closing = false;
    std::uint64_t nextConnection = 1;
    HttpCallId nextCall = 1;
    std::size_t bufferedBytes = 0;
    std::map<std::uint64_t, std::shared_ptr<Connection>> open;
    std::map<HttpCallId, Connection *> calls;
    EventLoop::TimerHandle sweepTimer;
};

} // namespace dotterel
