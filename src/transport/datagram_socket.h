#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <functional>
#include <string_view>

struct event;

namespace dotterel {

/// Sends and receives UDP datagrams, for news that may be lost.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view)>;

    /// Binds \a endpoint; port 0 takes a free one. Throws std::runtime_error if it cannot.
    DatagramSocket(EventLoop &loop, const Endpoint &endpoint, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends \a bytes to \a endpoint; returns false if they were dropped here.
    bool send(const Endpoint &endpoint, std::string_view bytes);

    /// The address and port in use.
    Endpoint endpoint() const { return this->boundEndpoint; }

private:
    static void readable(int descriptor, short what, void *self);

    Handler handler;
    int descriptor;
    event *readEvent;
    Endpoint boundEndpoint;
};

} // namespace dotterel
