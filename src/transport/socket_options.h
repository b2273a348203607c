#pragma once

#include "transport/endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <optional>

struct bufferevent;
struct evconnlistener;
struct event_base;

namespace dotterel {

/// Sets the options of connections to servers, other hosts and the platform. Disables Nagle's
/// algorithm and enables detection of unresponsive peers: by keep-alive probes while the connection
/// is idle, otherwise by the time that sent bytes stay unacknowledged.
void setTcpOptions(int descriptor);

/// Sets the options of connections of callers: as setTcpOptions(), but without a limit on the time
/// that sent bytes stay unacknowledged. A caller that reads slowly announces a full window for
/// seconds, which TCP counts toward that limit.
void setCallerTcpOptions(int descriptor);

/// Returns \a endpoint as a socket address; nullopt if its address is not IPv4.
std::optional<sockaddr_in> toSocketAddress(const Endpoint &endpoint);

/// Returns a new stream on \a descriptor, which it closes at its end; -1 for none yet. Throws
/// std::bad_alloc, with the descriptor closed, if libevent has no memory for it.
bufferevent *newStream(event_base *base, int descriptor);

/// How often listeners that stopped because accept() failed are enabled again.
inline constexpr std::chrono::microseconds AcceptRetryInterval = std::chrono::milliseconds(250);

/// Makes \a listener stop when accept() fails, as without free descriptors. libevent would try
/// again at once, for as long as a connection waits, and write a line each time. The owner enables
/// the listener again after AcceptRetryInterval.
void stopOnAcceptError(evconnlistener *listener);

/// Returns the number of bytes written to the socket \a descriptor that its peer has not
/// acknowledged; 0 if the system does not tell.
std::size_t unacknowledgedBytes(int descriptor);

/// Returns the error that waits at the socket \a descriptor, such as ECONNRESET, and clears it; 0
/// if there is none.
int takeSocketError(int descriptor);

/// Returns the local address of the socket \a descriptor.
Endpoint localEndpoint(int descriptor);

} // namespace dotterel
