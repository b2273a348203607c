#include "transport/datagram_socket.h"

#include "transport/socket_options.h"

#include <array>
#include <event2/event.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterel {

namespace {

constexpr std::size_t MaxDatagramBytes = 64UL * 1024;
/// Limit on datagrams read per wake-up, so that a flood does not starve other events.
constexpr int MaxDatagramsPerWakeup = 64;

} // namespace

DatagramSocket::DatagramSocket(EventLoop &loop, const Endpoint &endpoint, Handler handler)
    : loop(loop)
    , handler(std::move(handler))
    , descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const std::optional<sockaddr_in> address = toSocketAddress(endpoint);
    if (this->descriptor < 0 || !address
        || bind(this->descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address))
                   != 0) {
        if (this->descriptor >= 0)
            close(this->descriptor);
        throw std::runtime_error("cannot bind " + endpoint.text() + " for UDP");
    }
    this->boundEndpoint = localEndpoint(this->descriptor);
    this->readEvent = event_new(loop.base(), this->descriptor, EV_READ | EV_PERSIST,
                                &DatagramSocket::onReadable, this);
    event_add(this->readEvent, nullptr);
}

DatagramSocket::~DatagramSocket()
{
    event_free(this->readEvent);
    close(this->descriptor);
}

bool DatagramSocket::send(const Endpoint &endpoint, std::string_view bytes)
{
    const std::optional<sockaddr_in> address = toSocketAddress(endpoint);
    return address
           && sendto(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
                     reinterpret_cast<const sockaddr *>(&*address), sizeof(*address))
                      == static_cast<ssize_t>(bytes.size());
}

void DatagramSocket::onReadable(int /*descriptor*/, short /*what*/, void *self)
{
    DatagramSocket &socket = *static_cast<DatagramSocket *>(self);
    static std::array<char, MaxDatagramBytes> buffer;
    for (int count = 0; count < MaxDatagramsPerWakeup; ++count) {
        const ssize_t length = recv(socket.descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (length < 0)
            return;
        socket.loop.contain("datagram", [&socket, length] {
            socket.handler({buffer.data(), static_cast<std::size_t>(length)});
        });
    }
}

} // namespace dotterel
