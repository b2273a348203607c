#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <string>

struct bufferevent;

namespace dotterel::support {

/// TCP client that sends raw bytes, reads when it likes and closes when a test says so.
class RawClient
{
public:
    RawClient(EventLoop &loop, const Endpoint &endpoint);
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes);
    void close();

    /// Stops reading, so that the other side cannot send for long.
    void pause();
    void resume();

    const std::string &received() const { return this->input; }
    bool closedByPeer() const { return this->ended; }

private:
    static void readable(bufferevent *stream, void *self);
    static void event(bufferevent *stream, short what, void *self);

    bufferevent *stream;
    std::string input;
    bool ended = false;
};

} // namespace dotterel::support
