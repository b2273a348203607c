#include "support/scripted_server.h"

#include <arpa/inet.h>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>

namespace dotterel::support {

namespace {

std::uint16_t portOf(evutil_socket_t descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

sockaddr_in loopback()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Time from the end of the stream to the reset of CloseThenReset.
constexpr Duration ResetDelay = std::chrono::milliseconds(100);
/// See PlainGatewayProtocol::probeRequest().
constexpr const char *ProbeBegin = "GET /probe ";

int boundSocket()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback();
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot bind on loopback");
    return descriptor;
}

} // namespace

ScriptedServer::ScriptedServer(EventLoop &loop, Script script)
    : loop(loop)
    , script(std::move(script))
{
    const sockaddr_in address = loopback();
    this->listener = evconnlistener_new_bind(
            loop.base(), &ScriptedServer::accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
            -1, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    this->bound.port = portOf(evconnlistener_get_fd(this->listener));
}

ScriptedServer::~ScriptedServer()
{
    for (const auto &[stream, played] : this->streams)
        bufferevent_free(stream);
    evconnlistener_free(this->listener);
}

void ScriptedServer::accepted(evconnlistener * /*listener*/, evutil_socket_t descriptor,
                              sockaddr * /*address*/, int /*length*/, void *self)
{
    ScriptedServer *server = static_cast<ScriptedServer *>(self);
    bufferevent *stream =
            bufferevent_socket_new(server->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    server->streams[stream] = false;
    server->input.clear();
    bufferevent_setcb(stream, &ScriptedServer::readable, nullptr, &ScriptedServer::ended, self);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    if (server->script.readBytes == 0)
        server->act(stream);
}

void ScriptedServer::readable(bufferevent *stream, void *self)
{
    ScriptedServer *server = static_cast<ScriptedServer *>(self);
    evbuffer *buffer = bufferevent_get_input(stream);
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    const bool wasWhole = server->haveWholeRequest();
    server->input += bytes;
    const bool isProbe = server->input.rfind(ProbeBegin, 0) == 0;
    if (!wasWhole && !isProbe && server->haveWholeRequest())
        ++server->whole;
    if (!server->streams[stream] && server->input.size() >= server->script.readBytes)
        server->act(stream);
}

void ScriptedServer::ended(bufferevent *stream, short /*what*/, void *self)
{
    ScriptedServer *server = static_cast<ScriptedServer *>(self);
    ++server->closed;
    server->streams.erase(stream);
    bufferevent_free(stream);
}

void ScriptedServer::act(bufferevent *stream)
{
    this->streams[stream] = true;
    const evutil_socket_t descriptor = bufferevent_getfd(stream);
    if (this->script.end == ScriptEnd::Reset)
        return this->reset(stream);
    // Answers of tests fit into the socket buffer.
    send(descriptor, this->script.answer.data(), this->script.answer.size(), MSG_NOSIGNAL);
    if (this->script.end == ScriptEnd::Hold)
        return;
    shutdown(descriptor, SHUT_WR);
    if (this->script.end == ScriptEnd::Close)
        return;
    bufferevent_disable(stream, EV_READ);
    this->resetTimers.push_back(this->loop.after(ResetDelay, [this, stream] {
        if (this->streams.count(stream) > 0)
            this->reset(stream);
    }));
}

void ScriptedServer::reset(bufferevent *stream)
{
    const linger abortive{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    this->streams.erase(stream);
    bufferevent_free(stream);
}

bool ScriptedServer::haveWholeRequest() const
{
    const std::size_t head = this->input.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    const std::size_t field = this->input.find("Content-Length: ");
    const std::size_t length =
            field < head ? std::strtoul(this->input.c_str() + field + 16, nullptr, 10) : 0;
    return this->input.size() >= head + 4 + length;
}

Endpoint closedEndpoint()
{
    const int descriptor = boundSocket();
    Endpoint endpoint{"127.0.0.1", portOf(descriptor)};
    evutil_closesocket(descriptor);
    return endpoint;
}

FullBacklog::FullBacklog()
{
    constexpr int Fillers = 4;
    sockaddr_in address = loopback();
    const int server = boundSocket();
    this->descriptors.push_back(server);
    listen(server, 0);
    this->bound.port = portOf(server);
    address.sin_port = htons(this->bound.port);
    for (int i = 0; i < Fillers; ++i) {
        this->descriptors.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        // It fails at once with EINPROGRESS, as it should.
        (void)connect(this->descriptors.back(), reinterpret_cast<const sockaddr *>(&address),
                      sizeof(address));
    }
}

FullBacklog::~FullBacklog()
{
    for (const int descriptor : this->descriptors)
        evutil_closesocket(descriptor);
}

} // namespace dotterel::support
