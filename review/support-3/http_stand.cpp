#include "http_stand.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t NoDeadline = INT64_MAX;
constexpr std::size_t ReadBytes = 64UL * 1024;
constexpr int ListenBacklog = 512;
constexpr int MaxPollMs = 1'000;

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool equalNames(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : this->headers) {
        if (equalNames(key, name))
            return value;
    }
    return {};
}

Connection::~Connection()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
}

int Connection::open(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

bool Connection::fill(std::int64_t deadlineMs)
{
    while (this->descriptor >= 0) {
        const std::int64_t left = deadlineMs == NoDeadline
                                          ? MaxPollMs
                                          : std::max<std::int64_t>(0, deadlineMs - nowMs());
        pollfd entry{this->descriptor, POLLIN, 0};
        const int ready =
                poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, MaxPollMs)));
        if (ready == 0 && left <= MaxPollMs && deadlineMs != NoDeadline)
            return false;
        if (ready <= 0)
            continue;
        std::string bytes(ReadBytes, '\0');
        const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return false;
        this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
        return true;
    }
    return false;
}

std::optional<std::string> Connection::readLine(std::int64_t deadlineMs)
{
    while (true) {
        const std::size_t end = this->buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            return line;
        }
        if (!this->fill(deadlineMs))
            return std::nullopt;
    }
}

bool Connection::readHead(Message &message, bool isResponse, std::int64_t deadlineMs)
{
    const std::optional<std::string> start = this->readLine(deadlineMs);
    if (!start)
        return false;
    const std::size_t first = start->find(' ');
    const std::size_t second = start->find(' ', first + 1);
    if (first == std::string::npos)
        return false;
    if (isResponse) {
        message.status = std::atoi(start->c_str() + first + 1);
    } else {
        message.method = start->substr(0, first);
        message.target = start->substr(first + 1, second - first - 1);
    }
    while (true) {
        const std::optional<std::string> line = this->readLine(deadlineMs);
        if (!line)
            return false;
        if (line->empty())
            return true;
        const std::size_t colon = line->find(':');
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line->substr(0, colon),
                                     value == std::string::npos ? "" : line->substr(value));
    }
}

bool Connection::readBytes(std::size_t count, Message &message, std::int64_t deadlineMs,
                           const std::function<void(const std::string &)> &onData)
{
    while (count > 0) {
        if (this->buffer.empty() && !this->fill(deadlineMs))
            return false;
        const std::string part = this->buffer.substr(0, std::min(count, this->buffer.size()));
        this->buffer.erase(0, part.size());
        count -= part.size();
        message.body += part;
        if (onData)
            onData(part);
    }
    return true;
}

bool Connection::readBody(Message &message, bool isResponse, std::int64_t deadlineMs,
                          const std::function<void(const std::string &)> &onData)
{
    constexpr int Hexadecimal = 16;
    if (!message.header("Transfer-Encoding").empty()) {
        while (true) {
            const std::optional<std::string> size = this->readLine(deadlineMs);
            if (!size)
                return false;
            const std::size_t count = std::strtoul(size->c_str(), nullptr, Hexadecimal);
            if (!this->readBytes(count, message, deadlineMs, onData) || !this->readLine(deadlineMs))
                return false;
            if (count == 0)
                return true;
        }
    }
    const std::string length = message.header("Content-Length");
    if (!length.empty())
        return this->readBytes(std::strtoul(length.c_str(), nullptr, 10), message, deadlineMs,
                               onData);
    if (!isResponse)
        return true;
    while (this->buffer.empty() ? this->fill(deadlineMs) : true)
        this->readBytes(this->buffer.size(), message, deadlineMs, onData);
    return true;
}

std::optional<Message> Connection::readRequest()
{
    Message message;
    if (!this->readHead(message, false, NoDeadline)
        || !this->readBody(message, false, NoDeadline, {}))
        return std::nullopt;
    message.complete = true;
    return message;
}

Message Connection::readResponse(int timeoutMs,
                                 const std::function<void(const std::string &)> &onData)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    Message message;
    if (!this->readHead(message, true, deadline)) {
        message.status = 0;
        return message;
    }
    message.complete = this->readBody(message, true, deadline, onData);
    return message;
}

bool Connection::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size() && this->descriptor >= 0) {
        const ssize_t count = send(this->descriptor, bytes.data() + written, bytes.size() - written,
                                   MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return this->descriptor >= 0;
}

bool Connection::isClosedByPeer()
{
    char byte = 0;
    const ssize_t count = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger immediately{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    close(this->descriptor);
    this->descriptor = -1;
}

int listenOnLoopback(std::uint16_t &port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopbackAddress(port);
    socklen_t length = sizeof(address);
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), length) != 0
        || listen(listener, ListenBacklog) != 0
        || getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        close(listener);
        return -1;
    }
    port = ntohs(address.sin_port);
    return listener;
}

HttpStand::HttpStand(Handler handler)
{
    const int listener = listenOnLoopback(this->boundPort);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([descriptor, handler] {
                Connection connection(descriptor);
                handler(connection);
            }).detach();
        }
    }).detach();
}

std::string formatResponse(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string formatRequest(const std::string &method, const std::string &target,
                          const Headers &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (method != "GET" || !body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
