#include "platform/soak/raw_http_server.h"

#include "transport/socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>

namespace dotterel::soak {

namespace {

constexpr std::size_t MaxHeadBytes = 64UL * 1024;
constexpr int ListenBacklog = 128;

} // namespace

class RawHttpServer::Connection
    : public RawExchange
    , public HttpMessageListener
    , public std::enable_shared_from_this<RawHttpServer::Connection>
{
public:
    Connection(RawHttpServer &owner, evutil_socket_t descriptor)
        : owner(&owner)
        , parser(HttpMessageType::Request, MaxHeadBytes, *this)
        , stream(bufferevent_socket_new(owner.loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(this->stream, &Connection::onReadable, &Connection::onWritten,
                          &Connection::onStreamEvent, this);
        bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    }
    ~Connection() override { bufferevent_free(this->stream); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    std::string target() const override { return this->head.target; }

    std::string header(std::string_view name) const override
    {
        const std::string *value = findHeader(this->head.headers, name);
        return value == nullptr ? std::string() : *value;
    }

    void write(std::string_view bytes) override
    {
        if (!this->closed)
            bufferevent_write(this->stream, bytes.data(), bytes.size());
    }

    void end(ConnectionEnd newEnd) override
    {
        if (this->closed)
            return;
        this->responding = false;
        if (newEnd == ConnectionEnd::KeepOpen)
            return this->readInput();
        if (newEnd == ConnectionEnd::Reset) {
            const linger zeroLinger{1, 0};
            setsockopt(bufferevent_getfd(this->stream), SOL_SOCKET, SO_LINGER, &zeroLinger,
                       sizeof(zeroLinger));
            return this->close();
        }
        this->endsAfterWrite = true;
        if (this->unsentBytes() == 0)
            shutdown(bufferevent_getfd(this->stream), SHUT_WR);
    }

    bool isClosed() const override { return this->closed; }

    std::size_t unsentBytes() const override
    {
        return this->closed ? 0 : evbuffer_get_length(bufferevent_get_output(this->stream));
    }

    /// Ends the connection without a word to the owner, which goes.
    void detach()
    {
        this->closed = true;
        bufferevent_setcb(this->stream, nullptr, nullptr, nullptr, nullptr);
    }

private:
    static void onReadable(bufferevent * /*stream*/, void *self)
    {
        static_cast<Connection *>(self)->shared_from_this()->readInput();
    }

    static void onWritten(bufferevent *stream, void *self)
    {
        if (static_cast<Connection *>(self)->endsAfterWrite)
            shutdown(bufferevent_getfd(stream), SHUT_WR);
    }

    static void onStreamEvent(bufferevent * /*stream*/, short /*what*/, void *self)
    {
        static_cast<Connection *>(self)->shared_from_this()->close();
    }

    void close()
    {
        if (this->closed)
            return;
        const std::shared_ptr<Connection> self = this->shared_from_this();
        bufferevent_setfd(this->stream, this->releaseDescriptor());
        this->detach();
        this->owner->remove(this);
    }

    /// Closes the socket, so that a pending reset is sent now; exchanges may outlive it.
    evutil_socket_t releaseDescriptor()
    {
        const evutil_socket_t descriptor = bufferevent_getfd(this->stream);
        bufferevent_disable(this->stream, EV_READ | EV_WRITE);
        evutil_closesocket(descriptor);
        return -1;
    }

    void readInput()
    {
        evbuffer *input = bufferevent_get_input(this->stream);
        while (!this->closed && !this->responding && evbuffer_get_length(input) > 0) {
            if (this->endsAfterWrite) {
                evbuffer_drain(input, evbuffer_get_length(input));
                return;
            }
            const std::size_t length = evbuffer_get_contiguous_space(input);
            std::string_view bytes(reinterpret_cast<const char *>(
                                           evbuffer_pullup(input, static_cast<ev_ssize_t>(length))),
                                   length);
            const HttpParseResult result = this->parser.feed(bytes);
            evbuffer_drain(input, length - bytes.size());
            if (result == HttpParseResult::MessageComplete) {
                this->responding = true;
                this->owner->handler(this->shared_from_this());
            } else if (result != HttpParseResult::NeedsMoreData) {
                return this->close();
            }
        }
    }

    void onMessageHead(HttpMessageHead &&newHead) override { this->head = std::move(newHead); }
    void onMessageData(std::string_view /*bytes*/) override {}
    void onMessageEnd() override {}

    RawHttpServer *owner;
    HttpMessageParser parser;
    bufferevent *stream;
    HttpMessageHead head;
    bool responding = false;
    bool endsAfterWrite = false;
    bool closed = false;
};

RawHttpServer::RawHttpServer(EventLoop &loop, Handler handler)
    : loop(loop)
    , handler(std::move(handler))
{
    sockaddr_in address = toSocketAddress(Endpoint()).value();
    this->listener =
            evconnlistener_new_bind(loop.base(), &RawHttpServer::onAccepted, this,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog,
                                    reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot listen on loopback");
    this->boundEndpoint = localEndpoint(evconnlistener_get_fd(this->listener));
}

RawHttpServer::~RawHttpServer()
{
    evconnlistener_free(this->listener);
    for (const auto &connection : this->connections)
        connection->detach();
}

void RawHttpServer::onAccepted(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                               sockaddr * /*address*/, int /*length*/, void *self)
{
    auto *server = static_cast<RawHttpServer *>(self);
    server->connections.push_back(std::make_shared<Connection>(*server, descriptor));
}

void RawHttpServer::remove(Connection *connection)
{
    this->connections.remove_if([this, connection](const std::shared_ptr<Connection> &candidate) {
        if (candidate.get() != connection)
            return false;
        this->loop.disposeLater(candidate);
        return true;
    });
}

} // namespace dotterel::soak
