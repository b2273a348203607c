#include "transport/keep_alive_http_server.h"

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

constexpr int StatusServiceUnavailable = 503;
constexpr int ListenBacklog = 1'024;
/// How often connections are checked for timeouts; short compared to the timeouts.
constexpr Duration TimeoutCheckInterval = std::chrono::milliseconds(250);

} // namespace

KeepAliveHttpServer::KeepAliveHttpServer(EventLoop &loop, const Endpoint &endpoint,
                                         const KeepAliveHttpServerLimits &limits,
                                         HttpCallHandler &handler)
    : loop(loop)
    , limits(limits)
    , handler(handler)
{
    std::optional<sockaddr_in> address = toSocketAddress(endpoint);
    if (address)
        this->listener = evconnlistener_new_bind(
                loop.base(), &KeepAliveHttpServer::onAccepted, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog,
                reinterpret_cast<sockaddr *>(&*address), sizeof(*address));
    if (this->listener == nullptr)
        throw std::runtime_error("cannot listen on " + endpoint.text());
    stopOnAcceptError(this->listener);
    this->acceptTimer = loop.every(AcceptRetryInterval, [this] {
        if (this->listener != nullptr)
            evconnlistener_enable(this->listener);
    });
    this->boundEndpoint = localEndpoint(evconnlistener_get_fd(this->listener));
    this->timeoutTimer = loop.every(TimeoutCheckInterval, [this] { this->checkAllTimeouts(); });
}

KeepAliveHttpServer::~KeepAliveHttpServer()
{
    this->stopListening();
}

void KeepAliveHttpServer::onAccepted(evconnlistener * /*source*/, int descriptor,
                                     sockaddr * /*address*/, int /*length*/, void *self)
{
    KeepAliveHttpServer &server = *static_cast<KeepAliveHttpServer *>(self);
    server.loop.contain("caller_connection", [&server, descriptor] { server.accept(descriptor); });
}

void KeepAliveHttpServer::accept(int descriptor)
{
    const std::uint64_t id = this->nextConnectionId++;
    const auto connection = std::make_shared<Connection>(*this, id, descriptor);
    const bool atCapacity = this->connectionsById.size() >= this->limits.maxConnections;
    this->connectionsById.emplace(id, connection);
    if (atCapacity)
        connection->reject(StatusServiceUnavailable);
}

KeepAliveHttpServer::Connection *KeepAliveHttpServer::findConnection(HttpCallId call) const
{
    const auto found = this->connectionsByCall.find(call);
    return found == this->connectionsByCall.end() ? nullptr : found->second;
}

void KeepAliveHttpServer::reply(HttpCallId call, int status, const HttpHeaders &headers,
                                std::string_view body)
{
    Connection *connection = this->findConnection(call);
    if (connection == nullptr)
        return;
    connection->sendHead(status, headers, body.size());
    connection->sendBodyPart(body);
    connection->endResponse();
}

void KeepAliveHttpServer::startReply(HttpCallId call, int status, const HttpHeaders &headers,
                                     std::optional<std::uint64_t> length)
{
    if (Connection *connection = this->findConnection(call))
        connection->sendHead(status, headers, length);
}

void KeepAliveHttpServer::sendBodyPart(HttpCallId call, std::string_view bytes)
{
    if (Connection *connection = this->findConnection(call))
        connection->sendBodyPart(bytes);
}

void KeepAliveHttpServer::endReply(HttpCallId call)
{
    if (Connection *connection = this->findConnection(call))
        connection->endResponse();
}

void KeepAliveHttpServer::abortReply(HttpCallId call)
{
    if (Connection *connection = this->findConnection(call))
        connection->abort();
}

std::size_t KeepAliveHttpServer::unsentBytes(HttpCallId call) const
{
    const Connection *connection = this->findConnection(call);
    return connection == nullptr ? 0 : connection->unsentBytes();
}

void KeepAliveHttpServer::stopListening()
{
    if (this->listener != nullptr)
        evconnlistener_free(this->listener);
    this->listener = nullptr;
}

void KeepAliveHttpServer::closeIdleConnections()
{
    for (const auto &[id, connection] : this->connectionsById)
        connection->closeIfIdle();
}

bool KeepAliveHttpServer::isIdle() const
{
    return std::none_of(this->connectionsById.begin(), this->connectionsById.end(),
                        [](const auto &entry) { return entry.second->busy(); });
}

void KeepAliveHttpServer::checkAllTimeouts()
{
    const TimePoint now = this->loop.now();
    std::vector<std::shared_ptr<Connection>> openConnections;
    openConnections.reserve(this->connectionsById.size());
    for (const auto &[id, connection] : this->connectionsById)
        openConnections.push_back(connection);
    for (const std::shared_ptr<Connection> &connection : openConnections)
        connection->checkTimeouts(now);
}

void KeepAliveHttpServer::removeConnection(std::uint64_t id)
{
    const auto found = this->connectionsById.find(id);
    if (found == this->connectionsById.end())
        return;
    // A connection must not be freed from inside one of its own callbacks.
    found->second->disableCallbacks();
    this->loop.disposeLater(found->second);
    this->connectionsById.erase(found);
}

} // namespace dotterel
