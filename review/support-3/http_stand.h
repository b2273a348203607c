#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request or a response, as it was read from a connection.
struct Message
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status = 0;     ///< Responses only; 0 if none was read.
    Headers headers;
    std::string body;
    bool complete = false; ///< The body ended as its framing says.

    /// Returns the value of a header, ignoring case; empty if there is none.
    std::string header(const std::string &name) const;
};

/// A TCP connection on loopback with blocking calls. Not shared between threads unless said.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor(descriptor)
    {}
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to 127.0.0.1; returns false on failure.
    static int open(std::uint16_t port);

    /// Reads a request; nullopt if the connection ended before it was whole.
    std::optional<Message> readRequest();

    /// Reads a response, whose status is 0 if the connection ended before its head was whole.
    /// \a onData sees the body as it arrives. Gives up after \a timeoutMs in all.
    Message readResponse(int timeoutMs,
                         const std::function<void(const std::string &)> &onData = {});

    /// Writes \a bytes; returns false if the connection is closed.
    bool write(const std::string &bytes);

    /// Returns true if the peer has closed the connection.
    bool isClosedByPeer();

    /// Closes the connection with a reset.
    void reset();

    bool isOpen() const { return this->descriptor >= 0; }

private:
    bool fill(std::int64_t deadlineMs);
    bool readHead(Message &message, bool isResponse, std::int64_t deadlineMs);
    bool readBody(Message &message, bool isResponse, std::int64_t deadlineMs,
                  const std::function<void(const std::string &)> &onData);
    std::optional<std::string> readLine(std::int64_t deadlineMs);
    bool readBytes(std::size_t count, Message &message, std::int64_t deadlineMs,
                   const std::function<void(const std::string &)> &onData);

    int descriptor;
    std::string buffer;
};

/// Accepts connections on a free loopback port; each is served by a thread of its own.
class HttpStand
{
public:
    /// Serves one connection; it is closed when the call returns.
    using Handler = std::function<void(Connection &connection)>;

    explicit HttpStand(Handler handler);
    HttpStand(const HttpStand &) = delete;
    HttpStand &operator=(const HttpStand &) = delete;

    std::uint16_t port() const { return this->boundPort; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->boundPort); }

private:
    std::uint16_t boundPort = 0;
};

/// Returns a listening socket on loopback; \a port 0 selects a free one. -1 on failure.
int listenOnLoopback(std::uint16_t &port);

/// Formats the head and body of a message with a length.
std::string formatResponse(int status, const Headers &headers, const std::string &body);
std::string formatRequest(const std::string &method, const std::string &target,
                          const Headers &headers, const std::string &body);

/// Returns the steady time in milliseconds.
std::int64_t nowMs();

void sleepMs(std::int64_t milliseconds);

} // namespace review
