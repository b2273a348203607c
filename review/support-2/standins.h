// Stand-ins for the platform's store, backend servers and clients, and a launcher for gateways.
// Used by the cases 7 to 10. Blocking sockets, one thread per connection, loopback only.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCouldNotRun = 2;

inline const Clock::time_point processStart = Clock::now();

/// Milliseconds since the start of this program.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - processStart).count();
}

inline void sleepMs(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// The record of a case: one line for each thing that was sent, answered, run or done.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path, std::ios::trunc)
    {}

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%10.1f ms  ", nowMs());
        this->file << time << text << '\n';
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &headers, const char *name)
{
    for (const auto &[key, value] : headers)
        if (strcasecmp(key.c_str(), name) == 0)
            return value;
    return {};
}

/// A socket with a read buffer.
class Stream
{
public:
    explicit Stream(int fd)
        : fd(fd)
    {}
    ~Stream() { this->close(); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    int descriptor() const { return this->fd; }

    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }

    /// Closes with a reset.
    void reset()
    {
        const linger zero{1, 0};
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &zero, sizeof(zero));
        this->close();
    }

    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                    ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    enum class Read { Data, End, Reset, Timeout };

    /// Reads more bytes into the buffer, until \a deadline (nowMs()).
    Read fill(double deadline)
    {
        pollfd item{this->fd, POLLIN, 0};
        const double left = deadline - nowMs();
        const int ready = left <= 0 ? 0 : ::poll(&item, 1, static_cast<int>(left) + 1);
        if (ready <= 0)
            return Read::Timeout;
        char bytes[16384];
        const ssize_t count = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (count == 0)
            return Read::End;
        if (count < 0)
            return Read::Reset;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return Read::Data;
    }

    /// Returns true if the peer has closed or reset the connection.
    bool peerClosed() const
    {
        char byte = 0;
        const ssize_t count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string buffer;

private:
    int fd;
};

struct Message
{
    std::string method, target; ///< Of a request.
    int status = 0;             ///< Of a response.
    Headers headers;
    std::string body;
    std::string header(const char *name) const { return headerOf(this->headers, name); }
};

/// Reads the head of a message; nullopt if the connection ends before.
inline std::optional<Message> readHead(Stream &stream, double deadline)
{
    std::size_t end = 0;
    while ((end = stream.buffer.find("\r\n\r\n")) == std::string::npos)
        if (stream.fill(deadline) != Stream::Read::Data)
            return std::nullopt;
    const std::string head = stream.buffer.substr(0, end + 2);
    stream.buffer.erase(0, end + 4);
    Message message;
    std::size_t position = head.find("\r\n");
    const std::string first = head.substr(0, position);
    if (first.compare(0, 5, "HTTP/") == 0) {
        message.status = std::atoi(first.c_str() + 9);
    } else {
        const std::size_t space = first.find(' ');
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    }
    for (position += 2; position < head.size();) {
        const std::size_t lineEnd = head.find("\r\n", position);
        const std::string line = head.substr(position, lineEnd - position);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.headers.emplace_back(line.substr(0, colon), line.substr(value));
        }
        position = lineEnd + 2;
    }
    return message;
}

enum class BodyEnd { Whole, Cut, Timeout };

/// Reads the body of \a message, which belongs to a response if its status is not 0.
inline BodyEnd readBody(Stream &stream, Message &message, double deadline)
{
    const auto need = [&](std::size_t size) {
        while (stream.buffer.size() < size) {
            const Stream::Read read = stream.fill(deadline);
            if (read != Stream::Read::Data)
                return read;
        }
        return Stream::Read::Data;
    };
    const auto failure = [](Stream::Read read) {
        return read == Stream::Read::Timeout ? BodyEnd::Timeout : BodyEnd::Cut;
    };
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = stream.buffer.find("\r\n")) == std::string::npos) {
                const Stream::Read read = stream.fill(deadline);
                if (read != Stream::Read::Data)
                    return failure(read);
            }
            const std::size_t size = std::strtoul(stream.buffer.c_str(), nullptr, 16);
            const Stream::Read read = need(lineEnd + 2 + size + 2);
            message.body += stream.buffer.substr(lineEnd + 2, size);
            if (read != Stream::Read::Data)
                return failure(read);
            stream.buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return BodyEnd::Whole;
        }
    }
    const std::string length = message.header("Content-Length");
    if (!length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        const Stream::Read read = need(size);
        message.body = stream.buffer.substr(0, size);
        if (read != Stream::Read::Data)
            return failure(read);
        stream.buffer.erase(0, size);
        return BodyEnd::Whole;
    }
    if (message.status == 0 || message.status == 204)
        return BodyEnd::Whole;
    // Ends with its connection.
    while (true) {
        const Stream::Read read = stream.fill(deadline);
        message.body += stream.buffer;
        stream.buffer.clear();
        if (read == Stream::Read::End)
            return BodyEnd::Whole;
        if (read != Stream::Read::Data)
            return failure(read);
    }
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns the first of \a count consecutive ports that are free now. Below the range from which
/// the system takes ports for outgoing connections.
inline int freePorts(int count)
{
    static int next = 10000 + static_cast<int>(getpid() * 37 % 18000);
    for (int tries = 0; tries < 2000; ++tries) {
        if (next > 30000)
            next = 10000;
        const int first = next;
        next += count;
        bool free = true;
        for (int port = first; port < first + count && free; ++port) {
            const sockaddr_in address = loopback(port);
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = socket(AF_INET, type, 0);
                free = free
                       && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                                  == 0;
                ::close(fd);
            }
        }
        if (free)
            return first;
    }
    throw std::runtime_error("no free ports");
}

/// Accepts connections on a loopback port and calls a handler for each in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(const std::shared_ptr<Stream> &)>;

    explicit Listener(Handler handler)
        : handler(std::move(handler))
    {
        this->open(freePorts(1));
    }
    ~Listener() { this->close(); }

    int port() const { return this->boundPort; }

    /// Stops to listen, as a server that is gone: further connections are refused.
    void close()
    {
        this->closed = true;
        if (this->fd >= 0) {
            shutdown(this->fd, SHUT_RDWR);
            this->thread.join();
            ::close(this->fd);
        }
        this->fd = -1;
    }

    /// Listens again on the same port.
    void reopen()
    {
        if (this->fd < 0)
            this->open(this->boundPort);
    }

private:
    void open(int port)
    {
        this->closed = false;
        this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = loopback(port);
        if (::bind(this->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(this->fd, 256) != 0)
            throw std::runtime_error("cannot listen");
        this->boundPort = port;
        this->thread = std::thread([this] {
            while (!this->closed) {
                const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                const auto stream = std::make_shared<Stream>(accepted);
                std::thread([handler = this->handler, stream] { handler(stream); }).detach();
            }
        });
    }

    Handler handler;
    std::atomic<bool> closed{false};
    std::atomic<int> fd{-1};
    int boundPort = 0;
    std::thread thread;
};

inline std::string responseText(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's metadata store: linearizable, with a history and watches.
class Store
{
public:
    explicit Store(Record &record)
        : record(record)
        , listener([this](const auto &stream) { this->serve(stream); })
    {}

    int port() const { return this->listener.port(); }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->putLocked(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->removeLocked(kind, name);
    }

private:
    struct Change
    {
        std::string kind;
        std::uint64_t revision;
        Json event;
    };

    Json putLocked(const std::string &kind, const std::string &name, const Json &spec)
    {
        Json &object = this->objects[kind][name];
        if (!object.is_null() && object["spec"] == spec)
            return object;
        ++this->revision;
        object = {{"metadata",
                   {{"name", name},
                    {"rev", this->revision},
                    {"created", this->revision},
                    {"finalizers", Json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", nullptr}};
        this->note(kind, object, false);
        return object;
    }

    bool removeLocked(const std::string &kind, const std::string &name)
    {
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end())
            return false;
        ++this->revision;
        Json object = found->second;
        object["metadata"]["rev"] = this->revision;
        this->objects[kind].erase(found);
        this->note(kind, object, true);
        return true;
    }

    void note(const std::string &kind, const Json &object, bool removed)
    {
        this->history.push_back({kind, this->revision, {{"object", object}, {"removed", removed}}});
        if (kind == "servers" || kind == "config")
            this->record.line("store: " + kind + "/" + object["metadata"]["name"].get<std::string>()
                              + (removed ? " is removed" : " is written") + ", acknowledged as "
                              + std::to_string(this->revision));
        this->changed.notify_all();
    }

    static std::string queryValue(const std::string &query, const std::string &name)
    {
        std::size_t begin = 0;
        while (begin < query.size()) {
            const std::size_t end = std::min(query.find('&', begin), query.size());
            const std::string item = query.substr(begin, end - begin);
            if (item.compare(0, name.size() + 1, name + "=") == 0)
                return item.substr(name.size() + 1);
            begin = end + 1;
        }
        return {};
    }

    void serve(const std::shared_ptr<Stream> &stream)
    {
        while (auto request = readHead(*stream, nowMs() + 600e3)) {
            if (readBody(*stream, *request, nowMs() + 10e3) != BodyEnd::Whole)
                return;
            const auto [status, body] = this->call(*request, *stream);
            if (!stream->write(
                        responseText(status, {{"Content-Type", "application/json"}}, body.dump())))
                return;
        }
    }

    std::pair<int, Json> call(const Message &request, Stream &stream)
    {
        sleepMs(4);
        const std::string prefix = "/-/objects/";
        const std::size_t mark = std::min(request.target.find('?'), request.target.size());
        const std::string query =
                mark < request.target.size() ? request.target.substr(mark + 1) : "";
        std::string path = request.target.substr(0, mark);
        if (path.compare(0, prefix.size(), prefix) != 0)
            return {404, Json::object()};
        path.erase(0, prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock<std::mutex> lock(this->mutex);
        if (request.method == "GET" && !queryValue(query, "watch").empty())
            return this->watch(kind, query, lock, stream);
        if (request.method == "GET") {
            Json items = Json::array();
            for (const auto &[id, object] : this->objects[kind])
                items.push_back(object);
            return {200, {{"items", items}, {"more", false}, {"at", this->revision}}};
        }
        if (request.method == "DELETE")
            return {this->removeLocked(kind, name) ? 200 : 404, Json::object()};
        const Json body = Json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return {400, Json::object()};
        const std::string id =
                request.method == "POST" ? body["metadata"]["name"].get<std::string>() : name;
        const bool exists = this->objects[kind].count(id) > 0;
        if (request.method == "POST" && exists)
            return {409, this->objects[kind][id]};
        if (request.method == "PUT" && !exists)
            return {404, Json::object()};
        return {200, this->putLocked(kind, id, body["spec"])};
    }

    std::pair<int, Json> watch(const std::string &kind, const std::string &query,
                               std::unique_lock<std::mutex> &lock, Stream &stream)
    {
        const std::uint64_t from = std::stoull(queryValue(query, "watch"));
        const double end = nowMs() + std::atof(queryValue(query, "wait_ms").c_str());
        while (true) {
            Json events = Json::array();
            for (const Change &change : this->history)
                if (change.kind == kind && change.revision > from)
                    events.push_back(change.event);
            if (!events.empty() || nowMs() >= end || stream.peerClosed())
                return {200, {{"events", events}, {"at", this->revision}}};
            const double wait = std::min(200.0, end - nowMs());
            this->changed.wait_for(lock, std::chrono::duration<double, std::milli>(wait));
        }
    }

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Json>> objects;
    std::vector<Change> history;
    std::uint64_t revision = 500;
    Listener listener;
};

/// Returns the head of a stream of events without a length or, if \a chunked, in chunks.
inline std::string streamHead(const Headers &headers, bool chunked)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto &[name, value] : headers)
        head += name + ": " + value + "\r\n";
    return head + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
}

inline std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " "
           + std::string(40, 'x') + "\n\n";
}

inline std::string chunkOf(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Writes the events of a chunked stream after the one that the request has, \a pauseMs apart.
inline bool writeChunkedStream(Stream &stream, const Headers &headers, const Message &request,
                               int eventCount, double pauseMs)
{
    bool open = stream.write(streamHead(headers, true));
    const int first = std::atoi(request.header("Last-Event-Id").c_str()) + 1;
    for (int number = first; open && number <= eventCount; ++number) {
        sleepMs(pauseMs);
        open = stream.write(chunkOf(eventText(number)));
    }
    return open && stream.write("0\r\n\r\n");
}

/// A backend server. The handler runs a request and writes the response; it returns false if the
/// connection is to be closed.
class Server
{
public:
    using Handler = std::function<bool(Server &, const Message &, const std::shared_ptr<Stream> &)>;

    Server(Store &store, std::string id, std::string service, std::string zone, int slots,
           Handler handler)
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , slots(slots)
        , born(wallMs())
        , handler(std::move(handler))
        , listener([this](const auto &stream) { this->serve(stream); })
    {}

    Json entry(bool draining) const
    {
        return {{"service", this->service},
                {"address", "127.0.0.1:" + std::to_string(this->listener.port())},
                {"zone", this->zone},
                {"version", "v1"},
                {"slots", this->slots},
                {"state", draining ? "draining" : "ready"},
                {"cold_left_ms", 0},
                {"stage", "both"},
                {"models",
                 Json::array({{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}})},
                {"seq", 4},
                {"born", this->born}};
    }

    void announce(bool draining = false)
    {
        this->store.put("servers", this->id, this->entry(draining));
    }
    void withdraw() { this->store.remove("servers", this->id); }

    /// Ends the process that this stand-in plays: its connections are reset, new ones are refused.
    void crash()
    {
        this->listener.close();
        const std::lock_guard<std::mutex> guard(this->mutex);
        for (const auto &weak : this->streams)
            if (const auto stream = weak.lock())
                shutdown(stream->descriptor(), SHUT_RDWR);
        this->streams.clear();
    }

    /// Crashes, and is back after some seconds under a new id. A crashed server sends nothing; the
    /// store removes its entry after three heartbeat intervals of silence.
    void crashAndReturn()
    {
        std::thread([this] {
            this->crash();
            sleepMs(3 * HeartbeatMs);
            this->withdraw();
            sleepMs(ReturnMs);
            this->restart(this->id + "b");
            this->announce();
        }).detach();
    }

    /// Starts again at the same address, under \a newId or the id that it had.
    void restart(const std::string &newId = {})
    {
        if (!newId.empty())
            this->id = newId;
        this->born = wallMs();
        this->listener.reopen();
    }

    static constexpr double HeartbeatMs = 1200;
    static constexpr double ReturnMs = 400;

    const std::string &name() const { return this->id; }
    int port() const { return this->listener.port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->port()); }

    static std::int64_t wallMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                .count();
    }

    /// Headers of a success or of a server's own failure.
    Headers sealed(const Message &request) const
    {
        return {{"X-Request-Id", request.header("X-Request-Id")},
                {"X-Server-Seal", this->id + "." + request.header("X-Request-Id")},
                {"X-Weight-Versions", "1"}};
    }

private:
    void serve(const std::shared_ptr<Stream> &stream)
    {
        {
            const std::lock_guard<std::mutex> guard(this->mutex);
            this->streams.push_back(stream);
        }
        while (auto request = readHead(*stream, nowMs() + 600e3)) {
            if (readBody(*stream, *request, nowMs() + 10e3) != BodyEnd::Whole)
                return;
            const std::string expected = request->header("X-Expect-Instance");
            if (request->target == "/-/report") {
                const Json report = {
                        {"stage", "both"},    {"busy", false}, {"seq", 4},
                        {"queued", 0},        {"active", 0},   {"kv_used", 0},
                        {"kv_total", 405000}, {"handles", 0},  {"tickets", Json::array()},
                        {"born", this->born}};
                if (!stream->write(responseText(200, {{"Content-Type", "application/json"}},
                                                report.dump())))
                    return;
            } else if (request->target == "/health") {
                if (!stream->write(responseText(200, {{"X-Instance-Id", this->id}}, "ok")))
                    return;
            } else if (!expected.empty() && expected != this->id) {
                if (!stream->write(responseText(421,
                                                {{"X-Instance-Id", this->id},
                                                 {"X-Request-Id", request->header("X-Request-Id")}},
                                                "")))
                    return;
            } else if (request->target == "/-/order") {
                if (!stream->write(responseText(200, {{"Content-Type", "application/json"}},
                                                "{\"free\":405000}")))
                    return;
            } else if (!this->handler(*this, *request, stream)) {
                return;
            }
        }
    }

    Store &store;
    std::string id;
    std::string service;
    std::string zone;
    int slots;
    std::int64_t born;
    Handler handler;
    std::mutex mutex;
    std::vector<std::weak_ptr<Stream>> streams;
    Listener listener;
};

/// A gateway process, started with the command of the deploy file. Its settings follow the
/// template `deploy/settings.yaml` for one of \a zones zones.
class Gateway
{
public:
    Gateway(const std::string &name, const std::string &zone, int storePort,
            const std::string &folder, const std::string &program)
        : name(name)
        , program(program)
        , folder(folder)
        , firstPort(freePorts(5))
    {
        const auto address = [](int port) {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        std::ofstream settings(this->settingsPath());
        settings << "host: \"" << name << "\"\nfailure-domain: \"" << zone << "\"\n"
                 << "callers: " << address(this->callers())
                 << "readiness: " << address(this->readiness())
                 << "operators: " << address(this->firstPort + 4)
                 << "peers: " << address(this->firstPort + 2) << "platform: " << address(storePort)
                 << "platform-timeout-ms: 1500\nheartbeat-interval-ms: 500\nmax-open-files: 4100\n"
                 << "memory-mb: 260\nretry-ratio: 0.2\nretry-slack: 106\n"
                 << "retry-window-seconds: 10\nshutdown-limit-seconds: 8\n";
    }
    ~Gateway()
    {
        if (this->pid > 0) {
            kill(this->pid, SIGCONT);
            kill(this->pid, SIGKILL);
            waitpid(this->pid, nullptr, 0);
        }
    }

    void start()
    {
        const std::string log = this->folder + "/" + this->name + ".log";
        const std::string path = this->settingsPath();
        this->pid = fork();
        if (this->pid == 0) {
            // The gateway must not outlive the case.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(this->program.c_str(), this->program.c_str(), "--settings", path.c_str(),
                  static_cast<char *>(nullptr));
            _exit(127);
        }
    }

    void signal(int number) { kill(this->pid, number); }

    /// Kills the process and waits for its end.
    void killNow()
    {
        if (this->pid <= 0)
            return;
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }

    /// Returns how the process ended by itself, if it did.
    std::optional<int> ended()
    {
        int status = 0;
        if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
            return std::nullopt;
        this->pid = 0;
        return status;
    }

    pid_t processId() const { return this->pid; }
    int callers() const { return this->firstPort; }
    int readiness() const { return this->firstPort + 1; }
    const std::string name;

private:
    std::string settingsPath() const { return this->folder + "/" + this->name + ".yaml"; }

    std::string program;
    std::string folder;
    int firstPort;
    pid_t pid = 0;
};

/// How a client's attempt ended.
struct Answer
{
    bool connected = false;
    bool whole = false; ///< The response is complete by its framing.
    int status = 0;     ///< 0 without a response.
    Headers headers;
    std::string body;
    double sentAt = 0;
    double endedAt = 0;
    bool timedOut = false;
    std::string header(const char *name) const { return headerOf(this->headers, name); }
};

inline std::shared_ptr<Stream> connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Stream>(fd);
}

/// Sends one request on \a stream, or on a connection of its own, and reads the response.
inline Answer ask(int port, const std::string &method, const std::string &target,
                  const Headers &headers, const std::string &body, double timeoutMs,
                  std::shared_ptr<Stream> stream = nullptr)
{
    Answer answer;
    if (!stream)
        stream = connectTo(port);
    answer.sentAt = nowMs();
    if (!stream) {
        answer.endedAt = nowMs();
        return answer;
    }
    answer.connected = true;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    const double deadline = nowMs() + timeoutMs;
    if (stream->write(text)) {
        if (auto head = readHead(*stream, deadline)) {
            const BodyEnd end = readBody(*stream, *head, deadline);
            answer.status = head->status;
            answer.headers = head->headers;
            answer.body = head->body;
            answer.whole = end == BodyEnd::Whole;
            answer.timedOut = end == BodyEnd::Timeout;
        } else {
            answer.timedOut = nowMs() >= deadline;
        }
    }
    answer.endedAt = nowMs();
    return answer;
}

inline std::string newId()
{
    static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(Server::wallMs()) << 12U};
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(next++ * 0x9e3779b97f4a7c15ULL));
    return text;
}

/// Waits until each of \a gateways says that it is ready.
inline bool waitReady(const std::vector<std::unique_ptr<Gateway>> &gateways, double timeoutMs)
{
    const double end = nowMs() + timeoutMs;
    for (const auto &gateway : gateways) {
        while (ask(gateway->readiness(), "GET", "/-/ready", {{"Host", "ready"}}, "", 500).status
               != 200) {
            if (nowMs() > end)
                return false;
            sleepMs(50);
        }
    }
    return true;
}

/// The configuration of a small deployment: streams, orders and lookups.
inline Json smallConfiguration(std::uint64_t version, bool tenants = false)
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeout,
                          int goal, const char *service, int attempts) {
        return Json{{"name", name},     {"host", "shop.example"}, {"path_prefix", prefix},
                    {"kind", kind},     {"timeout_ms", timeout},  {"goal_ms", goal},
                    {"priority", 1},    {"service", service},     {"max_attempts", attempts},
                    {"no_auth", false}, {"sticky", false}};
    };
    Json stream = route("questions", "/ask/", "stream", 10000, 300, "llm", 2);
    stream["sticky"] = true;
    stream["resumable"] = true;
    stream["gap_target_ms"] = 250;
    Json configuration = {
            {"version", version},
            {"routes",
             {stream, route("orders", "/order/", "non_idempotent", 1200, 150, "app", 1),
              route("lookups", "/stock/", "idempotent", 1200, 150, "app", 2)}},
            {"services",
             {{{"name", "llm"},
               {"health_path", "/health"},
               {"max_conns", 374},
               {"protocol", "h1"},
               {"tls", false},
               {"engine",
                {{"slots", 16},
                 {"kv_tokens", 405000},
                 {"kv_bytes", 163840},
                 {"stride", 34},
                 {"models", {{{"name", "m"}}}},
                 {"step_ms", 1.31},
                 {"per_seq_ms", 0.000917},
                 {"context_per_k", 0.00213},
                 {"read_per_s", 154000.0},
                 {"pairs_per_m", 0.162},
                 {"chunk", 2048},
                 {"report_lag_ms", 200.0},
                 {"usual", {{"prompt", 11323}, {"answer", 1266}}}}}},
              {{"name", "app"},
               {"health_path", "/health"},
               {"max_conns", 110},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
    if (tenants)
        configuration["tenants"] = {{{"name", "shop-a"}, {"api_keys", {"key-a"}}, {"priority", 1}}};
    return configuration;
}

using Gateways = std::vector<std::unique_ptr<Gateway>>;

/// Creates and starts \a count gateways, spread over the zones, and waits until they are ready.
inline bool startGateways(Gateways &gateways, int count, int storePort, const std::string &folder,
                          const std::string &program)
{
    const char *zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int number = 0; number < count; ++number)
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(number + 1),
                                                     zones[number % 3], storePort, folder,
                                                     program));
    for (auto &gateway : gateways)
        gateway->start();
    return waitReady(gateways, 15e3);
}

/// Ends the gateways and this process, whose threads may still serve connections.
[[noreturn]] inline void finish(Gateways &gateways, int exitCode)
{
    for (auto &gateway : gateways)
        gateway->killNow();
    std::fflush(nullptr);
    _exit(exitCode);
}

/// What run.sh tells a case.
struct CaseOptions
{
    std::string folder; ///< For settings and logs of the gateways.
    std::string record;
    std::string program;
    bool trouble = true;
};

inline CaseOptions optionsFrom(int argc, char **argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s PROGRAM TEMPORARY_FOLDER RECORD\n", argv[0]);
        std::exit(ExitCouldNotRun);
    }
    signal(SIGPIPE, SIG_IGN);
    CaseOptions options;
    options.program = argv[1];
    options.folder = argv[2];
    options.record = argv[3];
    const char *trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    return options;
}

} // namespace review
