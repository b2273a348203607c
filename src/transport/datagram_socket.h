#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <functional>
#include <string_view>

struct event;

namespace dotterel {

/// Sends and receives UDP datagrams, for updates whose loss is tolerable.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view)>;

    /// Binds \a endpoint; port 0 selects a free port. Throws std::runtime_error on failure.
    DatagramSocket(EventLoop &loop, const Endpoint &endpoint, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends \a bytes to \a endpoint; returns false if the local socket did not accept them.
    bool send(const Endpoint &endpoint, std::string_view bytes);

    /// Returns the bound address and port.
    Endpoint endpoint() const { return this->boundEndpoint; }

private:
    static void onReadable(int descriptor, short what, void *self);

    EventLoop &loop;
    Handler handler;
    int descriptor;
    event *readEvent;
    Endpoint boundEndpoint;
};

} // namespace dotterel
