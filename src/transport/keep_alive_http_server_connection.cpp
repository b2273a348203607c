#include "transport/keep_alive_http_server_connection.h"

#include "transport/socket_options.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace dotterel {

namespace {

constexpr int StatusRequestTimeout = 408;
constexpr int StatusContentTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;
constexpr int StatusBadRequest = 400;
constexpr int StatusServiceUnavailable = 503;
/// Bytes of pipelined requests that are read while a request is being answered.
constexpr std::size_t MaxPipelinedBytes = 64UL * 1024;
/// How long a connection closed by this side waits for the peer to close. An earlier close could
/// send a reset that discards a response still in transit.
constexpr Duration LingerTime = std::chrono::seconds(1);
/// Retry-After value, in seconds, for a request rejected over the memory or connection limit.
constexpr const char *OverloadRetryAfterSeconds = "0.5";

std::string_view reasonPhrase(int status)
{
    constexpr std::array<std::pair<int, std::string_view>, 14> ReasonPhrases = {{
            {200, "OK"},
            {400, "Bad Request"},
            {401, "Unauthorized"},
            {404, "Not Found"},
            {408, "Request Timeout"},
            {413, "Content Too Large"},
            {421, "Misdirected Request"},
            {429, "Too Many Requests"},
            {431, "Request Header Fields Too Large"},
            {500, "Internal Server Error"},
            {502, "Bad Gateway"},
            {503, "Service Unavailable"},
            {504, "Gateway Timeout"},
            {206, "Partial Content"},
    }};
    for (const auto &[code, text] : ReasonPhrases) {
        if (code == status)
            return text;
    }
    return "Status";
}

} // namespace

KeepAliveHttpServer::Connection::Connection(KeepAliveHttpServer &owner, std::uint64_t id,
                                            int descriptor)
    : owner(owner)
    , id(id)
    , parser(HttpMessageType::Request, owner.limits.maxHeadBytes, *this)
    , stream(newStream(owner.loop.base(), descriptor))
    , lastProgress(owner.loop.now())
{
    setCallerTcpOptions(descriptor);
    bufferevent_setcb(this->stream, &Connection::onReadable, &Connection::onWritten,
                      &Connection::onStreamEvent, this);
    bufferevent_setwatermark(this->stream, EV_READ, 0, MaxPipelinedBytes);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
}

void KeepAliveHttpServer::Connection::sendHead(int status, const HttpHeaders &headers,
                                               std::optional<std::uint64_t> length)
{
    this->closeAfterResponse = this->closeAfterResponse || this->owner.sendConnectionClose;
    // Such a response ends with its head.
    this->bodiless = this->headOnly || isBodilessStatus(status);
    this->chunked = !length && !isBodilessStatus(status);
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reasonPhrase(status);
    head += "\r\n";
    for (const auto &[name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    if (this->closeAfterResponse)
        head += "Connection: close\r\n";
    if (this->chunked)
        head += "Transfer-Encoding: chunked\r\n";
    else if (length && !isBodilessStatus(status))
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    head += "\r\n";
    this->write(head);
    this->responseStarted = true;
}

void KeepAliveHttpServer::Connection::sendBodyPart(std::string_view bytes)
{
    if (bytes.empty() || this->bodiless)
        return;
    if (!this->chunked) {
        this->write(bytes);
        return;
    }
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    this->write({size.data(), static_cast<std::size_t>(length)});
    this->write(bytes);
    this->write("\r\n");
}

void KeepAliveHttpServer::Connection::endResponse()
{
    if (this->chunked && !this->bodiless)
        this->write("0\r\n\r\n");
    this->endCall();
    // The head may have been sent before the shutdown began, without "Connection: close".
    if (this->owner.sendConnectionClose && !this->closeAfterResponse) {
        this->closeAfterResponse = true;
        this->closedUnannounced = true;
    }
    if (this->closeAfterResponse) {
        this->closingAfterWrite = true;
        this->shutDownOnceWritten();
        return;
    }
    this->phase = Phase::Idle;
    this->lastProgress = this->owner.loop.now();
    // Bytes of a pipelined request may have arrived already.
    if (evbuffer_get_length(bufferevent_get_input(this->stream)) > 0)
        bufferevent_trigger(this->stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void KeepAliveHttpServer::Connection::abort()
{
    this->endCall();
    this->owner.removeConnection(this->id);
}

void KeepAliveHttpServer::Connection::disableCallbacks()
{
    this->endCall();
    bufferevent_setcb(this->stream, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
}

std::size_t KeepAliveHttpServer::Connection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(this->stream));
}

bool KeepAliveHttpServer::Connection::busy() const
{
    return !this->lingering
           && (this->phase != Phase::Idle || this->closingAfterWrite || this->unsentBytes() > 0);
}

void KeepAliveHttpServer::Connection::closeIfIdle()
{
    if (this->phase != Phase::Idle || this->closingAfterWrite)
        return;
    this->closingAfterWrite = true;
    this->closedUnannounced = true;
    this->shutDownOnceWritten();
}

void KeepAliveHttpServer::Connection::checkTimeouts(TimePoint now)
{
    const KeepAliveHttpServerLimits &limits = this->owner.limits;
    const std::size_t unsent = this->unsentBytes();
    if (unsent < this->unsentAtLastCheck)
        this->lastProgress = now;
    this->unsentAtLastCheck = unsent;
    const Duration inactiveTime = now - this->lastProgress;
    if (this->lingering || this->closingAfterWrite) {
        if (inactiveTime > LingerTime && (this->lingering || inactiveTime > limits.idleTimeout))
            this->owner.removeConnection(this->id);
    } else if ((this->phase == Phase::Head && inactiveTime > limits.headTimeout)
               || (this->phase == Phase::Body && inactiveTime > limits.idleTimeout)) {
        this->reject(StatusRequestTimeout);
    } else if (this->phase == Phase::Idle && inactiveTime > limits.idleTimeout) {
        this->owner.removeConnection(this->id);
    }
}

void KeepAliveHttpServer::Connection::reject(int status)
{
    this->owner.handler.onHttpRejected(status);
    this->closeAfterResponse = true;
    HttpHeaders headers;
    if (status == StatusServiceUnavailable)
        headers.emplace_back("Retry-After", OverloadRetryAfterSeconds);
    this->sendHead(status, headers, 0);
    this->body = std::string();
    this->releaseBufferedBytes();
    this->closingAfterWrite = true;
    this->phase = Phase::Idle;
    this->shutDownOnceWritten();
}

void KeepAliveHttpServer::Connection::onReadable(bufferevent * /*stream*/, void *self)
{
    const std::shared_ptr<Connection> liveConnection =
            static_cast<Connection *>(self)->shared_from_this();
    if (!liveConnection->owner.loop.contain("caller_connection",
                                            [&] { liveConnection->readInput(); }))
        liveConnection->dropCall();
}

void KeepAliveHttpServer::Connection::onWritten(bufferevent * /*stream*/, void *self)
{
    const std::shared_ptr<Connection> liveConnection =
            static_cast<Connection *>(self)->shared_from_this();
    if (liveConnection->closingAfterWrite)
        return liveConnection->shutDownOnceWritten();
    if (liveConnection->phase != Phase::Responding || !liveConnection->responseStarted)
        return;
    if (!liveConnection->owner.loop.contain("caller_connection", [&] {
            liveConnection->owner.handler.onHttpDrained(liveConnection->call);
        }))
        liveConnection->dropCall();
}

void KeepAliveHttpServer::Connection::onStreamEvent(bufferevent * /*stream*/, short /*what*/,
                                                    void *self)
{
    const std::shared_ptr<Connection> liveConnection =
            static_cast<Connection *>(self)->shared_from_this();
    liveConnection->dropCall();
}

void KeepAliveHttpServer::Connection::dropCall()
{
    const HttpCallId droppedCall = this->call;
    const bool responding = this->phase == Phase::Responding;
    this->endCall();
    this->owner.removeConnection(this->id);
    if (responding)
        this->owner.loop.contain("caller_connection",
                                 [&] { this->owner.handler.onHttpPeerClosed(droppedCall); });
}

void KeepAliveHttpServer::Connection::readInput()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    if (this->closingAfterWrite || this->lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        // A sender whose request arrived during the close must not wait for a response.
        if (this->closedUnannounced)
            this->owner.removeConnection(this->id);
        return;
    }
    while (this->phase != Phase::Responding && !this->closingAfterWrite) {
        evbuffer_iovec segment{};
        if (evbuffer_peek(input, -1, nullptr, &segment, 1) < 1 || segment.iov_len == 0)
            return;
        if (this->phase == Phase::Idle)
            this->beginRequest();
        std::string_view bytes(static_cast<const char *>(segment.iov_base), segment.iov_len);
        const HttpParseResult result = this->parser.feed(bytes);
        evbuffer_drain(input, segment.iov_len - bytes.size());
        if (this->closingAfterWrite)
            return;
        if (result == HttpParseResult::Malformed)
            return this->reject(StatusBadRequest);
        if (result == HttpParseResult::HeadTooLarge)
            return this->reject(StatusHeadersTooLarge);
        if (result == HttpParseResult::MessageComplete)
            return this->dispatch();
    }
}

void KeepAliveHttpServer::Connection::beginRequest()
{
    this->phase = Phase::Head;
    this->lastProgress = this->owner.loop.now();
    this->body.clear();
}

void KeepAliveHttpServer::Connection::onMessageHead(HttpMessageHead &&newHead)
{
    this->head = std::move(newHead);
    this->phase = Phase::Body;
    this->lastProgress = this->owner.loop.now();
    const std::uint64_t length = this->head.contentLength.value_or(0);
    if (length > this->owner.limits.maxBodyBytes)
        return this->reject(StatusContentTooLarge);
    if (this->owner.bufferedBytes + length > this->owner.limits.maxBufferedBytes)
        return this->reject(StatusServiceUnavailable);
    this->body.reserve(length);
    const std::string *expectation = findHeader(this->head.headers, "Expect");
    if (expectation != nullptr && equalHeaderNames(*expectation, "100-continue"))
        this->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void KeepAliveHttpServer::Connection::onMessageData(std::string_view bytes)
{
    if (this->closingAfterWrite)
        return;
    this->lastProgress = this->owner.loop.now();
    if (this->body.size() + bytes.size() > this->owner.limits.maxBodyBytes)
        return this->reject(StatusContentTooLarge);
    this->body.append(bytes);
    // A body of unknown length grows in steps, and holds each step as a whole.
    const std::size_t held = this->head.contentLength ? this->body.size() : this->body.capacity();
    this->owner.bufferedBytes += held - this->countedBodyBytes;
    this->countedBodyBytes = held;
    if (this->owner.bufferedBytes > this->owner.limits.maxBufferedBytes)
        this->reject(StatusServiceUnavailable);
}

void KeepAliveHttpServer::Connection::dispatch()
{
    this->phase = Phase::Responding;
    this->responseStarted = false;
    this->closeAfterResponse = !this->head.keepAlive;
    this->headOnly = this->head.method == "HEAD";
    this->call = this->owner.nextCallId++;
    this->owner.connectionsByCall.emplace(this->call, this);
    auto requestBody = std::make_shared<const std::string>(std::move(this->body));
    this->body = std::string();
    this->owner.handler.onHttpRequest(this->call, std::move(this->head), std::move(requestBody));
}

void KeepAliveHttpServer::Connection::endCall()
{
    this->owner.connectionsByCall.erase(this->call);
    this->releaseBufferedBytes();
}

void KeepAliveHttpServer::Connection::releaseBufferedBytes()
{
    this->owner.bufferedBytes -= this->countedBodyBytes;
    this->countedBodyBytes = 0;
}

void KeepAliveHttpServer::Connection::write(std::string_view bytes)
{
    bufferevent_write(this->stream, bytes.data(), bytes.size());
}

void KeepAliveHttpServer::Connection::shutDownOnceWritten()
{
    if (this->unsentBytes() > 0 || this->lingering)
        return;
    this->lingering = true;
    this->lastProgress = this->owner.loop.now();
    shutdown(bufferevent_getfd(this->stream), SHUT_WR);
}

} // namespace dotterel
