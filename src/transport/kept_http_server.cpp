#include "transport/kept_http_server.h"

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

constexpr int StatusTimeout = 408;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusMalformed = 400;
constexpr int StatusUnavailable = 503;
constexpr int ListenBacklog = 1'024;
/// Bytes of pipelined requests that are read while a request is being answered.
constexpr std::size_t MostBytesAhead = 64UL * 1024;
/// How often connections are checked for timeouts; short compared to the timeouts.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
/// How long a connection closed by this side waits for the peer to close. An earlier close could
/// send a reset that discards a response still in transit.
constexpr Duration LingerTime = std::chrono::seconds(1);
/// Retry-After value, in seconds, for a request rejected over the memory or connection limit.
constexpr const char *FullRetryAfter = "0.5";

std::string_view statusText(int status)
{
    constexpr std::array<std::pair<int, std::string_view>, 14> Texts = {{
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
    for (const auto &[code, text] : Texts) {
        if (code == status)
            return text;
    }
    return "Status";
}

} // namespace

/// One connection and its current request.
class KeptHttpServer::Connection
    : public HttpMessageListener
    , public std::enable_shared_from_this<KeptHttpServer::Connection>
{
public:
    Connection(KeptHttpServer &owner, std::uint64_t id, int descriptor)
        : owner(owner)
        , id(id)
        , parser(HttpSide::Requests, owner.limits.maxHeadBytes, *this)
        , stream(bufferevent_socket_new(owner.loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
        , changed(owner.loop.now())
    {
        setConnectionOptions(descriptor);
        bufferevent_setcb(this->stream, &Connection::readable, &Connection::written,
                          &Connection::event, this);
        bufferevent_setwatermark(this->stream, EV_READ, 0, MostBytesAhead);
        bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    }

    ~Connection() override { bufferevent_free(this->stream); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void send(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
    {
        this->closeAtEnd = this->closeAtEnd || this->owner.closing;
        this->chunked = !length;
        std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
        head += statusText(status);
        head += "\r\n";
        for (const auto &[name, value] : headers)
            head.append(name).append(": ").append(value).append("\r\n");
        if (this->closeAtEnd)
            head += "Connection: close\r\n";
        if (this->chunked)
            head += "Transfer-Encoding: chunked\r\n";
        else if (!isBodiless(status))
            head += "Content-Length: " + std::to_string(*length) + "\r\n";
        head += "\r\n";
        this->write(head);
        this->answerBegun = true;
    }

    void sendPart(std::string_view bytes)
    {
        if (bytes.empty() || this->headOnly)
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

    void endAnswer()
    {
        if (this->chunked && !this->headOnly)
            this->write("0\r\n\r\n");
        this->endCall();
        // The head may have been sent before the shutdown began, without "Connection: close".
        if (this->owner.closing && !this->closeAtEnd) {
            this->closeAtEnd = true;
            this->closedIdle = true;
        }
        if (this->closeAtEnd) {
            this->finishing = true;
            this->closeWhenWritten();
            return;
        }
        this->phase = Phase::Idle;
        this->changed = this->owner.loop.now();
        // Bytes of a pipelined request may have arrived already.
        if (evbuffer_get_length(bufferevent_get_input(this->stream)) > 0)
            bufferevent_trigger(this->stream, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }

    /// Closes the connection without completing the response.
    void abort()
    {
        this->endCall();
        this->owner.closed(this->id);
    }

    /// Disables all callbacks; the object is destroyed later.
    void detach()
    {
        this->endCall();
        bufferevent_setcb(this->stream, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    }

    std::size_t unsentBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(this->stream));
    }

    bool busy() const
    {
        return !this->lingering
               && (this->phase != Phase::Idle || this->finishing || this->unsentBytes() > 0);
    }

    /// Closes the connection if no request is being read or answered.
    void closeIfIdle()
    {
        if (this->phase != Phase::Idle || this->finishing)
            return;
        this->finishing = true;
        this->closedIdle = true;
        this->closeWhenWritten();
    }

    void checkTimeouts(TimePoint now)
    {
        const HttpServerLimits &limits = this->owner.limits;
        const Duration quiet = now - this->changed;
        if (this->lingering || this->finishing) {
            if (quiet > LingerTime && (this->lingering || quiet > limits.idleTimeout))
                this->owner.closed(this->id);
        } else if ((this->phase == Phase::Head && quiet > limits.headTimeout)
                   || (this->phase == Phase::Body && quiet > limits.idleTimeout)) {
            this->reject(StatusTimeout);
        } else if (this->phase == Phase::Idle && quiet > limits.idleTimeout) {
            this->owner.closed(this->id);
        }
    }

    /// Rejects the request that is being read with \a status and closes the connection.
    void reject(int status)
    {
        this->owner.handler.onHttpRejected(status);
        this->closeAtEnd = true;
        HttpHeaders headers;
        if (status == StatusUnavailable)
            headers.emplace_back("Retry-After", FullRetryAfter);
        this->send(status, headers, 0);
        this->releaseBody();
        this->finishing = true;
        this->phase = Phase::Idle;
        this->closeWhenWritten();
    }

private:
    enum class Phase { Idle, Head, Body, Answering };

    static void readable(bufferevent * /*stream*/, void *self)
    {
        const std::shared_ptr<Connection> alive =
                static_cast<Connection *>(self)->shared_from_this();
        alive->read();
    }

    static void written(bufferevent * /*stream*/, void *self)
    {
        const std::shared_ptr<Connection> alive =
                static_cast<Connection *>(self)->shared_from_this();
        if (alive->finishing)
            alive->closeWhenWritten();
        else if (alive->phase == Phase::Answering && alive->answerBegun)
            alive->owner.handler.onHttpDrained(alive->call);
    }

    static void event(bufferevent * /*stream*/, short /*what*/, void *self)
    {
        const std::shared_ptr<Connection> alive =
                static_cast<Connection *>(self)->shared_from_this();
        const HttpCallId call = alive->call;
        const bool open = alive->phase == Phase::Answering;
        KeptHttpServer &owner = alive->owner;
        alive->endCall();
        owner.closed(alive->id);
        if (open)
            owner.handler.onHttpPeerGone(call);
    }

    void read()
    {
        evbuffer *input = bufferevent_get_input(this->stream);
        if (this->finishing || this->lingering) {
            evbuffer_drain(input, evbuffer_get_length(input));
            // A sender whose request arrived during the close must not wait for a response.
            if (this->closedIdle)
                this->owner.closed(this->id);
            return;
        }
        while (this->phase != Phase::Answering && !this->finishing) {
            evbuffer_iovec piece{};
            if (evbuffer_peek(input, -1, nullptr, &piece, 1) < 1 || piece.iov_len == 0)
                return;
            if (this->phase == Phase::Idle)
                this->beginRequest();
            std::string_view bytes(static_cast<const char *>(piece.iov_base), piece.iov_len);
            const HttpParseResult result = this->parser.feed(bytes);
            evbuffer_drain(input, piece.iov_len - bytes.size());
            if (this->finishing)
                return;
            if (result == HttpParseResult::Malformed)
                return this->reject(StatusMalformed);
            if (result == HttpParseResult::HeadTooLarge)
                return this->reject(StatusHeadTooLarge);
            if (result == HttpParseResult::MessageEnded)
                return this->dispatch();
        }
    }

    void beginRequest()
    {
        this->phase = Phase::Head;
        this->changed = this->owner.loop.now();
        this->body.clear();
    }

    void onMessageHead(HttpHead &&newHead) override
    {
        this->head = std::move(newHead);
        this->phase = Phase::Body;
        this->changed = this->owner.loop.now();
        const std::uint64_t length = this->head.contentLength.value_or(0);
        if (length > this->owner.limits.maxBodyBytes)
            return this->reject(StatusBodyTooLarge);
        if (this->owner.bufferedBytes + length > this->owner.limits.maxBufferedBytes)
            return this->reject(StatusUnavailable);
        this->body.reserve(length);
        const std::string *expectation = findHeader(this->head.headers, "Expect");
        if (expectation != nullptr && sameHeaderName(*expectation, "100-continue"))
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void onMessageData(std::string_view bytes) override
    {
        if (this->finishing)
            return;
        this->changed = this->owner.loop.now();
        if (this->body.size() + bytes.size() > this->owner.limits.maxBodyBytes)
            return this->reject(StatusBodyTooLarge);
        if (this->owner.bufferedBytes + bytes.size() > this->owner.limits.maxBufferedBytes)
            return this->reject(StatusUnavailable);
        this->body.append(bytes);
        this->accounted += bytes.size();
        this->owner.bufferedBytes += bytes.size();
    }

    void onMessageEnd() override {}

    void dispatch()
    {
        this->phase = Phase::Answering;
        this->answerBegun = false;
        this->closeAtEnd = !this->head.keepAlive;
        this->headOnly = this->head.method == "HEAD";
        this->call = this->owner.nextCall++;
        this->owner.calls.emplace(this->call, this);
        auto whole = std::make_shared<const std::string>(std::move(this->body));
        this->body = std::string();
        this->owner.handler.onHttpRequest(this->call, std::move(this->head), std::move(whole));
    }

    void endCall()
    {
        this->owner.calls.erase(this->call);
        this->releaseBody();
    }

    void releaseBody()
    {
        this->owner.bufferedBytes -= this->accounted;
        this->accounted = 0;
    }

    void write(std::string_view bytes)
    {
        bufferevent_write(this->stream, bytes.data(), bytes.size());
    }

    void closeWhenWritten()
    {
        if (this->unsentBytes() > 0 || this->lingering)
            return;
        this->lingering = true;
        this->changed = this->owner.loop.now();
        shutdown(bufferevent_getfd(this->stream), SHUT_WR);
    }

    KeptHttpServer &owner;
    std::uint64_t id;
    HttpMessageParser parser;
    bufferevent *stream;
    TimePoint changed; ///< Start of the phase, or arrival of the latest body bytes.
    Phase phase = Phase::Idle;
    HttpHead head;
    std::string body;
    std::size_t accounted = 0; ///< Body bytes included in the server's bufferedBytes.
    HttpCallId call = 0;
    bool answerBegun = false;
    bool chunked = false;
    bool headOnly = false;
    bool closeAtEnd = false;
    bool finishing = false;  ///< The last response is queued; the connection closes after it.
    bool closedIdle = false; ///< Closed by this side between two requests.
    bool lingering = false;  ///< This side is closed; waits for the peer to close.
};

KeptHttpServer::KeptHttpServer(EventLoop &loop, const Endpoint &endpoint,
                               const HttpServerLimits &limits, HttpCallHandler &handler)
    : loop(loop)
    , limits(limits)
    , handler(handler)
{
    sockaddr_in address = socketAddress(endpoint);
    this->listener = evconnlistener_new_bind(
            loop.base(), &KeptHttpServer::accepted, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog,
            reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot listen on " + endpoint.text());
    this->boundEndpoint = boundAddress(evconnlistener_get_fd(this->listener));
    this->sweepTimer = loop.every(SweepInterval, [this] { this->sweep(); });
}

KeptHttpServer::~KeptHttpServer()
{
    this->stopListening();
}

void KeptHttpServer::accepted(evconnlistener * /*source*/, int descriptor, sockaddr * /*address*/,
                              int /*length*/, void *self)
{
    KeptHttpServer &server = *static_cast<KeptHttpServer *>(self);
    const std::uint64_t id = server.nextConnection++;
    const auto connection = std::make_shared<Connection>(server, id, descriptor);
    const bool full = server.open.size() >= server.limits.maxConnections;
    server.open.emplace(id, connection);
    if (full)
        connection->reject(StatusUnavailable);
}

KeptHttpServer::Connection *KeptHttpServer::find(HttpCallId call) const
{
    const auto found = this->calls.find(call);
    return found == this->calls.end() ? nullptr : found->second;
}

void KeptHttpServer::reply(HttpCallId call, int status, const HttpHeaders &headers,
                           std::string_view body)
{
    Connection *connection = this->find(call);
    if (connection == nullptr)
        return;
    connection->send(status, headers, body.size());
    connection->sendPart(body);
    connection->endAnswer();
}

void KeptHttpServer::startReply(HttpCallId call, int status, const HttpHeaders &headers,
                                std::optional<std::uint64_t> length)
{
    if (Connection *connection = this->find(call))
        connection->send(status, headers, length);
}

void KeptHttpServer::sendPart(HttpCallId call, std::string_view bytes)
{
    if (Connection *connection = this->find(call))
        connection->sendPart(bytes);
}

void KeptHttpServer::endReply(HttpCallId call)
{
    if (Connection *connection = this->find(call))
        connection->endAnswer();
}

void KeptHttpServer::abortReply(HttpCallId call)
{
    if (Connection *connection = this->find(call))
        connection->abort();
}

std::size_t KeptHttpServer::unsentBytes(HttpCallId call) const
{
    const Connection *connection = this->find(call);
    return connection == nullptr ? 0 : connection->unsentBytes();
}

void KeptHttpServer::stopListening()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
    this->listener = nullptr;
}

void KeptHttpServer::closeIdle()
{
    for (const auto &[id, connection] : this->open)
        connection->closeIfIdle();
}

bool KeptHttpServer::idle() const
{
    return std::none_of(this->open.begin(), this->open.end(),
                        [](const auto &row) { return row.second->busy(); });
}

void KeptHttpServer::sweep()
{
    const TimePoint now = this->loop.now();
    std::vector<std::shared_ptr<Connection>> present;
    present.reserve(this->open.size());
    for (const auto &[id, connection] : this->open)
        present.push_back(connection);
    for (const std::shared_ptr<Connection> &connection : present)
        connection->checkTimeouts(now);
}

void KeptHttpServer::closed(std::uint64_t connection)
{
    const auto found = this->open.find(connection);
    if (found == this->open.end())
        return;
    // A connection must not be freed from inside one of its own callbacks.
    found->second->detach();
    this->loop.disposeLater(found->second);
    this->open.erase(found);
}

} // namespace dotterel
