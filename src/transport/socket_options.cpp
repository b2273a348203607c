#include "transport/socket_options.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <new>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterel {

namespace {

/// Idle time before the first keep-alive probe and interval between probes, in seconds; the
/// smallest value that TCP allows.
constexpr int KeepAliveProbeSeconds = 1;
/// Number of unanswered probes after which the connection is considered dead.
constexpr int MaxUnansweredProbes = 2;
/// How long sent bytes may stay unacknowledged, in milliseconds. Leaves time for several
/// retransmissions on any supported network.
constexpr unsigned MaxUnacknowledgedMs = 2'000;

template <typename Value>
void setOption(int descriptor, int level, int option, Value value)
{
    // A failure is ignored, because the connection works without the option too.
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

} // namespace

void setCallerTcpOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveProbeSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveProbeSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, MaxUnansweredProbes);
}

void setTcpOptions(int descriptor)
{
    setCallerTcpOptions(descriptor);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, MaxUnacknowledgedMs);
}

std::optional<sockaddr_in> toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

bufferevent *newStream(event_base *base, int descriptor)
{
    bufferevent *stream = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    if (stream != nullptr)
        return stream;
    if (descriptor >= 0)
        close(descriptor);
    throw std::bad_alloc();
}

void stopOnAcceptError(evconnlistener *listener)
{
    evconnlistener_set_error_cb(listener, [](evconnlistener *failed, void * /*argument*/) {
        evconnlistener_disable(failed);
    });
}

std::size_t unacknowledgedBytes(int descriptor)
{
    int bytes = 0;
    return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes)
                                                                 : 0;
}

int takeSocketError(int descriptor)
{
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error : 0;
}

Endpoint localEndpoint(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return {text, ntohs(address.sin_port)};
}

} // namespace dotterel
