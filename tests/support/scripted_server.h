#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <event2/util.h>
#include <map>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace dotterel::support {

/// What a ScriptedServer does once it has read enough.
enum class ScriptEnd {
    Close, ///< Sends the answer and then the end of the stream.
    Reset, ///< Breaks the connection at once, unread bytes and all.
    Hold,  ///< Sends the answer and keeps the connection open.
    /// Sends the answer and then the end of the stream, reads no further and breaks the connection
    /// a moment later.
    CloseThenReset,
};

/// How a ScriptedServer treats each connection.
struct Script
{
    std::size_t readBytes = 1; ///< It acts when it has read as much; 0 acts when it accepts.
    std::string answer;        ///< Raw bytes.
    ScriptEnd end = ScriptEnd::Close;
};

/// TCP server that sends raw bytes and breaks its connections where a test says so.
class ScriptedServer
{
public:
    ScriptedServer(EventLoop &loop, Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    Endpoint endpoint() const { return this->bound; }

    /// Returns how many requests were read whole, head and body; probes, which nobody runs, do not
    /// count.
    std::size_t wholeRequests() const { return this->whole; }

    /// Returns the bytes of the last connection.
    const std::string &received() const { return this->input; }

    /// Returns how many connections the other side has closed.
    std::size_t closedByPeer() const { return this->closed; }

private:
    static void accepted(evconnlistener *listener, evutil_socket_t descriptor, sockaddr *address,
                         int length, void *self);
    static void readable(bufferevent *stream, void *self);
    static void ended(bufferevent *stream, short what, void *self);
    void act(bufferevent *stream);
    void reset(bufferevent *stream);
    bool haveWholeRequest() const;

    EventLoop &loop;
    Script script;
    evconnlistener *listener;
    Endpoint bound;
    std::map<bufferevent *, bool> streams; ///< Whether the script was played.
    std::vector<EventLoop::TimerHandle> resetTimers;
    std::string input;
    std::size_t whole = 0;
    std::size_t closed = 0;
};

/// Returns an endpoint on which nothing listens.
Endpoint closedEndpoint();

/// Endpoint whose queue of connections is full, so that no further one is answered.
class FullBacklog
{
public:
    FullBacklog();
    ~FullBacklog();
    FullBacklog(const FullBacklog &) = delete;
    FullBacklog &operator=(const FullBacklog &) = delete;

    Endpoint endpoint() const { return this->bound; }

private:
    Endpoint bound;
    std::vector<int> descriptors;
};

} // namespace dotterel::support
