#include "support/raw_connection.h"

#include <arpa/inet.h>
#include <array>
#include <fcntl.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterel::support {

namespace {

constexpr unsigned char MaskBit = 0x80;
constexpr std::size_t LongestShortPayload = 125;
constexpr unsigned char SixteenBitLength = 126;

} // namespace

RawConnection::RawConnection(const Endpoint &endpoint)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    if (connect(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot connect to " + endpoint.text());
    fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
}

RawConnection::~RawConnection()
{
    close(this->descriptor);
}

void RawConnection::write(const std::string &bytes) const
{
    const ssize_t sent = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    static_cast<void>(sent);
}

std::string RawConnection::read()
{
    std::array<char, 4096> buffer{};
    std::string bytes;
    ssize_t length = 0;
    while ((length = recv(this->descriptor, buffer.data(), buffer.size(), 0)) > 0)
        bytes.append(buffer.data(), static_cast<std::size_t>(length));
    this->ended = this->ended || length == 0 || errno != EAGAIN;
    return bytes;
}

std::string RawConnection::upgradeRequest()
{
    return "GET /peer HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
}

std::string RawConnection::frame(unsigned char firstByte, const std::string &payload)
{
    std::string bytes(1, static_cast<char>(firstByte));
    if (payload.size() <= LongestShortPayload) {
        bytes.push_back(static_cast<char>(MaskBit | payload.size()));
    } else {
        bytes.push_back(static_cast<char>(MaskBit | SixteenBitLength));
        bytes.push_back(static_cast<char>(payload.size() >> 8U));
        bytes.push_back(static_cast<char>(payload.size()));
    }
    bytes.append(4, '\0'); // A mask of zeros leaves the payload as it is.
    return bytes + payload;
}

} // namespace dotterel::support
