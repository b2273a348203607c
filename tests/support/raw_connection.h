#pragma once

#include "transport/endpoint.h"

#include <string>

namespace dotterel::support {

/// A plain TCP connection that a test drives byte by byte; it never blocks and reads nothing unless
/// asked to.
class RawConnection
{
public:
    /// Connects to \a endpoint on loopback.
    explicit RawConnection(const Endpoint &endpoint);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /// Writes \a bytes as far as the socket takes them.
    void write(const std::string &bytes) const;

    /// Returns what has arrived; sets closed() at the end of the stream.
    std::string read();

    /// Returns true after the other side closed the connection.
    bool closed() const { return this->ended; }

    /// Returns the request that opens a WebSocket, as a client sends it.
    static std::string upgradeRequest();

    /// Returns a masked client frame; \a firstByte holds the FIN bit and the opcode.
    static std::string frame(unsigned char firstByte, const std::string &payload);

private:
    int descriptor;
    bool ended = false;
};

} // namespace dotterel::support
