#pragma once

#include "transport/keep_alive_http_server.h"

#include <event2/bufferevent.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// One connection and its current request.
class KeepAliveHttpServer::Connection
    : public HttpMessageListener
    , public std::enable_shared_from_this<KeepAliveHttpServer::Connection>
{
public:
    Connection(KeepAliveHttpServer &owner, std::uint64_t id, int descriptor);

    ~Connection() override { bufferevent_free(this->stream); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void sendHead(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length);

    void sendBodyPart(std::string_view bytes);

    void endResponse();

    /// Closes the connection without completing the response.
    void abort();

    /// Disables all callbacks; the object is destroyed later.
    void disableCallbacks();

    std::size_t unsentBytes() const;

    bool busy() const;

    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    void checkTimeouts(TimePoint now);

    /// Rejects the request that is being read with \a status and closes the connection.
    void reject(int status);

private:
    enum class Phase { Idle, Head, Body, Responding };

    static void onReadable(bufferevent * /*stream*/, void *self);

    static void onWritten(bufferevent * /*stream*/, void *self);

    static void onStreamEvent(bufferevent * /*stream*/, short /*what*/, void *self);

    void readInput();

    void beginRequest();

    void onMessageHead(HttpMessageHead &&newHead) override;

    void onMessageData(std::string_view bytes) override;

    void onMessageEnd() override {}

    void dispatch();

    void endCall();

    /// Closes the connection; the handler is told that the caller of a running call has left.
    void dropCall();

    void releaseBufferedBytes();

    void write(std::string_view bytes);

    void shutDownOnceWritten();

    KeepAliveHttpServer &owner;
    std::uint64_t id;
    HttpMessageParser parser;
    bufferevent *stream;
    /// Start of the phase, or when the latest bytes of a body arrived or of a response were sent.
    TimePoint lastProgress;
    std::size_t unsentAtLastCheck = 0;
    Phase phase = Phase::Idle;
    HttpMessageHead head;
    std::string body;
    std::size_t countedBodyBytes = 0; ///< Body bytes included in the server's bufferedBytes.
    HttpCallId call = 0;
    bool responseStarted = false;
    bool chunked = false;
    bool headOnly = false; ///< The request asks for the head only.
    bool bodiless = false; ///< The response ends with its head.
    bool closeAfterResponse = false;
    bool closingAfterWrite = false; ///< Closes once the queued response is written.
    bool closedUnannounced = false; ///< Closed without sending "Connection: close".
    bool lingering = false;         ///< This side is closed; waits for the peer to close.
};

} // namespace dotterel
