#pragma once

#include "transport/keep_alive_http_client.h"

#include <event2/bufferevent.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

struct evbuffer;
struct evbuffer_cb_info;

namespace dotterel {

/// One connection and the call that currently uses it.
class KeepAliveHttpClient::Connection
    : public HttpMessageListener
    , public std::enable_shared_from_this<KeepAliveHttpClient::Connection>
{
public:
    Connection(KeepAliveHttpClient &owner, const Endpoint &endpoint);
    ~Connection() override { bufferevent_free(this->stream); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    const Endpoint &endpoint() const { return this->peerEndpoint; }

    /// Starts to connect; returns false if that fails immediately.
    bool connect();

    void start(const HttpRequest &request, HttpResponseListener &newListener, bool isReused);

    void pause(bool paused);

    /// Cancels a running call without notifying its listener.
    void cancel();

    /// Schedules a ConnectFailed report from the event loop.
    void scheduleConnectFailure();

    /// Disables all callbacks and shuts the socket down; the object is destroyed later.
    void shutDown();

    TimePoint reusableUntil;
    std::uint64_t callId = 0; ///< Identifies the current or most recent call.

private:
    static void onReadable(bufferevent * /*stream*/, void *self);

    static void onStreamEvent(bufferevent * /*stream*/, short what, void *self);

    static void onOutputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self);

    void readInput();

    /// Handles the end of a message; returns true if it was the response that ends the call.
    bool handleMessageEnd();

    void completeCall();

    void onStreamClosed(bool closedCleanly);

    /// Completes the call once the server has received the whole request, and fails it if the
    /// connection is reset before.
    void awaitDelivery();

    void failCall(HttpFailureKind kind);
    /// Ends the call after an exception in the handling of its response: whoever waits learns it.
    void failAfterFault();

    /// Returns true if a response with \a headers belongs to another call.
    bool isForeign(const HttpHeaders &headers) const;

    void onMessageHead(HttpMessageHead &&head) override;

    void onMessageData(std::string_view bytes) override;

    void onMessageEnd() override {}

    KeepAliveHttpClient &owner;
    Endpoint peerEndpoint;
    bufferevent *stream;
    std::unique_ptr<HttpMessageParser> parser;
    HttpResponseListener *listener = nullptr;
    std::pair<std::string, std::string> echoedHeader;
    std::string echoName; ///< Header by which responses on this connection name their calls.
    bool servedAnonymousCall = false; ///< The response to one of its calls named no call.
    EventLoop::TimerHandle requestTimer;
    EventLoop::TimerHandle connectTimer;
    /// Set while a response that the end of its connection delimits waits for awaitDelivery().
    EventLoop::TimerHandle deliveryTimer;
    std::optional<Duration> keepAliveTimeout;
    bool connected = false;
    bool reused = false;
    TimePoint startedAt;           ///< Of the current or most recent call.
    bool responseBegun = false;    ///< A byte of the response was received.
    bool requestBytesSent = false; ///< Bytes of the current request were written to the socket.
    bool headReceived = false;
    bool skippingMessage = false; ///< The current message is not the expected response.
    std::size_t skippedBytes = 0; ///< Of the bodies of skipped messages, for the current call.
    std::size_t skippedMessages = 0;
    bool reusable = false;
};

} // namespace dotterel
