#include "transport/keep_alive_http_client_connection.h"

#include "transport/socket_options.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <new>
#include <optional>
#include <sys/socket.h>

namespace dotterel {

namespace {

constexpr std::size_t MaxHeadBytes = 64UL * 1024;
constexpr int FirstFinalStatus = 200;
/// How often a connection is checked for the delivery of a request.
constexpr Duration DeliveryCheckInterval = std::chrono::milliseconds(5);
/// A call that is cancelled after this time without a byte of its response may have a connection
/// that fell silent; the idle connections to the same peer may then be silent too.
constexpr Duration SilentCallTime = std::chrono::milliseconds(500);

/// Returns the idle timeout from the Keep-Alive header of a response, if present.
std::optional<Duration> parseKeepAliveTimeout(const HttpHeaders &headers)
{
    const std::string *value = findHeader(headers, "Keep-Alive");
    if (value == nullptr)
        return std::nullopt;
    constexpr std::string_view TimeoutParameter = "timeout=";
    const std::size_t begin = value->find(TimeoutParameter);
    unsigned seconds = 0;
    if (begin == std::string::npos
        || std::from_chars(value->data() + begin + TimeoutParameter.size(),
                           value->data() + value->size(), seconds)
                           .ec
                   != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::string formatRequestHead(const HttpRequest &request)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    bool hasHostHeader = false;
    for (const auto &[name, value] : request.headers) {
        hasHostHeader = hasHostHeader || equalHeaderNames(name, "Host");
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (!hasHostHeader)
        head += "Host: " + request.endpoint.text() + "\r\n";
    const bool isBodylessMethod = request.method == "GET" || request.method == "HEAD";
    const std::size_t length = request.body ? request.body->size() : 0;
    if (length > 0 || !isBodylessMethod)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    head += "\r\n";
    return head;
}

void releaseBodyReference(const void * /*bytes*/, std::size_t /*length*/, void *bodyReference)
{
    delete static_cast<std::shared_ptr<const std::string> *>(bodyReference);
}

} // namespace

KeepAliveHttpClient::Connection::Connection(KeepAliveHttpClient &owner, const Endpoint &endpoint)
    : owner(owner)
    , peerEndpoint(endpoint)
    , stream(newStream(owner.loop.base(), -1))
    , parser(std::make_unique<HttpMessageParser>(HttpMessageType::Response, MaxHeadBytes, *this))
{
    bufferevent_setcb(this->stream, &Connection::onReadable, nullptr, &Connection::onStreamEvent,
                      this);
    evbuffer_add_cb(bufferevent_get_output(this->stream), &Connection::onOutputChanged, this);
}

bool KeepAliveHttpClient::Connection::connect()
{
    const std::optional<sockaddr_in> address = toSocketAddress(this->peerEndpoint);
    if (!address
        || bufferevent_socket_connect(this->stream, reinterpret_cast<const sockaddr *>(&*address),
                                      sizeof(*address))
                   != 0)
        return false;
    setTcpOptions(bufferevent_getfd(this->stream));
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    return true;
}

void KeepAliveHttpClient::Connection::start(const HttpRequest &request,
                                            HttpResponseListener &newListener, bool isReused)
{
    this->listener = &newListener;
    ++this->callId;
    this->parser->setAnswersHead(request.method == "HEAD");
    this->echoedHeader = request.echoedHeader;
    if (this->echoedHeader.first.empty())
        this->servedAnonymousCall = true;
    else
        this->echoName = this->echoedHeader.first;
    this->reused = isReused;
    this->requestBytesSent = false;
    this->responseBegun = false;
    this->startedAt = this->owner.loop.now();
    this->headReceived = false;
    this->skippingMessage = false;
    this->skippedBytes = 0;
    this->skippedMessages = 0;
    this->keepAliveTimeout.reset();
    const std::string head = formatRequestHead(request);
    // A body must not be sent without its head.
    if (bufferevent_write(this->stream, head.data(), head.size()) != 0)
        throw std::bad_alloc();
    if (request.body && !request.body->empty()) {
        auto *bodyReference = new std::shared_ptr<const std::string>(request.body);
        evbuffer_add_reference(bufferevent_get_output(this->stream), request.body->data(),
                               request.body->size(), &releaseBodyReference, bodyReference);
    }
    if (!this->connected && request.connectTimeout > Duration::zero())
        this->connectTimer = this->owner.loop.after(
                request.connectTimeout, [this] { this->failCall(HttpFailureKind::ConnectFailed); });
    this->requestTimer = this->owner.loop.after(
            request.timeout, [this] { this->failCall(HttpFailureKind::Timeout); });
}

void KeepAliveHttpClient::Connection::pause(bool paused)
{
    if (paused)
        bufferevent_disable(this->stream, EV_READ);
    else
        bufferevent_enable(this->stream, EV_READ);
}

void KeepAliveHttpClient::Connection::cancel()
{
    if (this->listener == nullptr)
        return;
    this->listener = nullptr;
    if (this->reused && !this->responseBegun
        && this->owner.loop.now() - this->startedAt >= SilentCallTime)
        this->owner.closeIdleConnections(this->peerEndpoint);
    this->owner.discardConnection(this);
}

void KeepAliveHttpClient::Connection::scheduleConnectFailure()
{
    this->connectTimer = this->owner.loop.after(
            Duration::zero(), [this] { this->failCall(HttpFailureKind::ConnectFailed); });
}

void KeepAliveHttpClient::Connection::shutDown()
{
    this->listener = nullptr;
    this->requestTimer.reset();
    this->connectTimer.reset();
    this->deliveryTimer.reset();
    bufferevent_setcb(this->stream, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    // An immediate shutdown lets the peer cancel the request.
    const evutil_socket_t descriptor = bufferevent_getfd(this->stream);
    if (descriptor >= 0)
        shutdown(descriptor, SHUT_RDWR);
}

void KeepAliveHttpClient::Connection::onReadable(bufferevent * /*stream*/, void *self)
{
    const std::shared_ptr<Connection> liveConnection =
            static_cast<Connection *>(self)->shared_from_this();
    if (!liveConnection->owner.loop.contain("server_connection",
                                            [&] { liveConnection->readInput(); }))
        liveConnection->failAfterFault();
}

void KeepAliveHttpClient::Connection::onStreamEvent(bufferevent * /*stream*/, short what,
                                                    void *self)
{
    const std::shared_ptr<Connection> liveConnection =
            static_cast<Connection *>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        liveConnection->connected = true;
        liveConnection->connectTimer.reset();
        return;
    }
    if (!liveConnection->owner.loop.contain("server_connection", [&] {
            liveConnection->onStreamClosed((what & BEV_EVENT_EOF) != 0);
        }))
        liveConnection->failAfterFault();
}

void KeepAliveHttpClient::Connection::failAfterFault()
{
    this->owner.loop.contain("server_connection", [this] {
        this->failCall(this->headReceived ? HttpFailureKind::ResponseTruncated
                                          : HttpFailureKind::MalformedResponse);
    });
}

void KeepAliveHttpClient::Connection::onOutputChanged(evbuffer * /*buffer*/,
                                                      const evbuffer_cb_info *info, void *self)
{
    if (info->n_deleted > 0)
        static_cast<Connection *>(self)->requestBytesSent = true;
}

void KeepAliveHttpClient::Connection::readInput()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    if (this->listener == nullptr) {
        // No request is outstanding, so these bytes belong to none.
        this->owner.discardConnection(this);
        return;
    }
    this->responseBegun = true;
    evbuffer_iovec segment{};
    while (this->listener != nullptr && evbuffer_peek(input, -1, nullptr, &segment, 1) >= 1
           && segment.iov_len > 0) {
        std::string_view bytes(static_cast<const char *>(segment.iov_base), segment.iov_len);
        const HttpParseResult result = this->parser->feed(bytes);
        evbuffer_drain(input, segment.iov_len - bytes.size());
        if (this->listener == nullptr)
            return;
        if (this->skippedBytes > this->owner.limits.maxSkippedBytes
            || this->skippedMessages > this->owner.limits.maxSkippedMessages)
            return this->failCall(HttpFailureKind::ResponseTooLarge);
        if (result == HttpParseResult::Malformed || result == HttpParseResult::HeadTooLarge)
            return this->failCall(this->headReceived ? HttpFailureKind::ResponseTruncated
                                                     : HttpFailureKind::MalformedResponse);
        if (result == HttpParseResult::MessageComplete && this->handleMessageEnd())
            return;
    }
}

bool KeepAliveHttpClient::Connection::handleMessageEnd()
{
    if (this->skippingMessage) {
        this->skippingMessage = false;
        return false;
    }
    this->completeCall();
    return true;
}

void KeepAliveHttpClient::Connection::completeCall()
{
    HttpResponseListener *notifiedListener = this->listener;
    this->listener = nullptr;
    this->requestTimer.reset();
    evbuffer *input = bufferevent_get_input(this->stream);
    const bool buffersEmpty = evbuffer_get_length(input) == 0
                              && evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
    // A slow caller may have paused the response whose end was read already.
    this->pause(false);
    const KeepAliveHttpClientLimits &limits = this->owner.limits;
    const Duration peerIdleTimeout = this->keepAliveTimeout.value_or(limits.defaultIdleTimeout);
    const Duration reuseTime =
            fromSeconds(toSeconds(peerIdleTimeout) * limits.reusableFractionOfIdleTimeout);
    if (buffersEmpty && this->reusable && reuseTime > Duration::zero())
        this->owner.returnToPool(this->shared_from_this(), reuseTime);
    else
        this->owner.discardConnection(this);
    notifiedListener->onComplete();
}

void KeepAliveHttpClient::Connection::onStreamClosed(bool closedCleanly)
{
    if (this->listener == nullptr) {
        this->owner.discardConnection(this);
        return;
    }
    if (closedCleanly && this->deliveryTimer)
        return;
    if (closedCleanly && this->headReceived && !this->skippingMessage
        && this->parser->finishAtEof()) {
        this->reusable = false;
        return this->awaitDelivery();
    }
    if (!this->connected)
        return this->failCall(HttpFailureKind::ConnectFailed);
    this->failCall(this->headReceived ? HttpFailureKind::ResponseTruncated
                                      : HttpFailureKind::ConnectionLost);
}

void KeepAliveHttpClient::Connection::awaitDelivery()
{
    // The process of a server that crashes ends the stream, and what arrives of the request later
    // resets the connection. A server that ends a whole response early reads the rest.
    const evutil_socket_t descriptor = bufferevent_getfd(this->stream);
    if (takeSocketError(descriptor) != 0)
        return this->failCall(HttpFailureKind::ResponseTruncated);
    const std::size_t unsentBytes = evbuffer_get_length(bufferevent_get_output(this->stream))
                                    + unacknowledgedBytes(descriptor);
    if (unsentBytes == 0)
        return this->completeCall();
    this->deliveryTimer =
            this->owner.loop.after(DeliveryCheckInterval, [self = this->weak_from_this()] {
                const std::shared_ptr<Connection> connection = self.lock();
                if (connection != nullptr && connection->listener != nullptr)
                    connection->awaitDelivery();
            });
}

void KeepAliveHttpClient::Connection::failCall(HttpFailureKind kind)
{
    const std::shared_ptr<Connection> liveConnection = this->shared_from_this();
    HttpResponseListener *notifiedListener = this->listener;
    this->listener = nullptr;
    if (kind == HttpFailureKind::Timeout)
        this->owner.closeIdleConnections(this->peerEndpoint);
    const HttpFailure failure{kind, this->requestBytesSent ? Verdict::MayHaveRun : Verdict::NotRun,
                              this->reused};
    this->owner.discardConnection(this);
    if (notifiedListener != nullptr)
        notifiedListener->onFailed(failure);
}

bool KeepAliveHttpClient::Connection::isForeign(const HttpHeaders &headers) const
{
    const std::string *echoedValue =
            this->echoName.empty() ? nullptr : findHeader(headers, this->echoName);
    if (this->echoedHeader.first.empty())
        return echoedValue != nullptr;
    if (echoedValue != nullptr)
        return *echoedValue != this->echoedHeader.second;
    // A late copy of the response to a call that had no name has none either.
    return this->servedAnonymousCall;
}

void KeepAliveHttpClient::Connection::onMessageHead(HttpMessageHead &&head)
{
    const bool interim = head.status < FirstFinalStatus;
    const bool mismatched = !interim && this->isForeign(head.headers);
    this->skippingMessage = mismatched || interim;
    if (mismatched)
        ++this->owner.totals.mismatchedResponses;
    if (this->skippingMessage) {
        ++this->skippedMessages;
        return;
    }
    this->headReceived = true;
    this->reusable = head.keepAlive && head.bodyDelimited;
    this->keepAliveTimeout = parseKeepAliveTimeout(head.headers);
    if (this->listener != nullptr)
        this->listener->onHead(head.status, head.headers);
}

void KeepAliveHttpClient::Connection::onMessageData(std::string_view bytes)
{
    if (this->skippingMessage)
        this->skippedBytes += bytes.size();
    else if (this->listener != nullptr)
        this->listener->onData(bytes);
}

} // namespace dotterel
