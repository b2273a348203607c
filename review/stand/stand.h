// Stand-ins of the platform's store, of clients and of servers for the cases of the review, and the
// gateways as child processes. Plain sockets and threads; loopback addresses and free ports only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stand {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

inline Clock::time_point startTime = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startTime).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// ---------------------------------------------------------------------------------------------
// Record of what was sent, answered and run.

inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

inline void record(const char *format, ...)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    va_list arguments;
    va_start(arguments, format);
    if (recordFile != nullptr) {
        std::fprintf(recordFile, "%8.3f ", now());
        std::vfprintf(recordFile, format, arguments);
        std::fputc('\n', recordFile);
        std::fflush(recordFile);
    }
    va_end(arguments);
}

// ---------------------------------------------------------------------------------------------
// Child processes.

inline std::mutex childrenMutex;
inline std::vector<pid_t> children;
inline std::string temporaryFolder;

inline void endChildren()
{
    const std::lock_guard<std::mutex> lock(childrenMutex);
    for (const pid_t child : children) {
        kill(child, SIGCONT);
        kill(child, SIGKILL);
    }
    for (const pid_t child : children)
        waitpid(child, nullptr, 0);
    children.clear();
}

[[noreturn]] inline void finish(int code, const std::string &why)
{
    record("RESULT %s (exit %d): %s",
           code == ExitHeld     ? "the rule held"
           : code == ExitBroken ? "the rule was broken"
                                : "the case could not run",
           code, why.c_str());
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    endChildren();
    std::error_code error;
    if (!temporaryFolder.empty() && std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(temporaryFolder, error);
    _exit(code);
}

/// Opens the record in \a folder and bounds the run by \a maxSeconds.
inline void begin(const std::string &folder, double maxSeconds)
{
    std::signal(SIGPIPE, SIG_IGN);
    startTime = Clock::now();
    recordFile = std::fopen((folder + "/record.txt").c_str(), "w");
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        finish(ExitCannotRun, "no temporary folder");
    temporaryFolder = name;
    std::thread([maxSeconds] {
        sleepFor(maxSeconds);
        finish(ExitCannotRun, "the run took too long");
    }).detach();
}

inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------------------------------------
// Sockets.

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(int &port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = loopback(port);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || listen(descriptor, 512) != 0)
        finish(ExitCannotRun, "cannot listen");
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return descriptor;
}

/// Returns \a count ports in a row that are free now, for TCP and UDP.
inline int freePorts(int count)
{
    static int next = 21'000 + static_cast<int>(getpid() % 400) * 20;
    for (int tries = 0; tries < 2'000; ++tries) {
        const int first = next;
        next = next + count > 32'000 ? 21'000 : next + count;
        bool isFree = true;
        for (int port = first; port < first + count && isFree; ++port) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in address = loopback(port);
                isFree = isFree
                         && bind(descriptor, reinterpret_cast<const sockaddr *>(&address),
                                 sizeof(address))
                                    == 0;
                close(descriptor);
            }
        }
        if (isFree)
            return first;
    }
    finish(ExitCannotRun, "no free ports");
}

inline int connectTo(int port, int receiveBuffer = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
                send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// ---------------------------------------------------------------------------------------------
// HTTP messages.

struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &[key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    bool has(const char *name) const
    {
        for (const auto &entry : this->headers) {
            if (strcasecmp(entry.first.c_str(), name) == 0)
                return true;
        }
        return false;
    }
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (; index > 0 && begin != std::string::npos; --index)
            begin = this->start.find(' ', begin) == std::string::npos
                            ? std::string::npos
                            : this->start.find(' ', begin) + 1;
        if (begin == std::string::npos)
            return {};
        return this->start.substr(begin, this->start.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(this->word(1).c_str()); }
};

enum class ReadEnd { Whole, Closed, Reset, TimedOut, Malformed };

inline const char *readEndName(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Whole:
        return "whole";
    case ReadEnd::Closed:
        return "closed before its end";
    case ReadEnd::Reset:
        return "reset before its end";
    case ReadEnd::TimedOut:
        return "no end in time";
    case ReadEnd::Malformed:
        return "malformed";
    }
    return "";
}

/// Reads messages from a socket. \a pace, if set, is called before each read and returns how many
/// bytes to read at most.
class Reader
{
public:
    explicit Reader(int descriptor, std::function<std::size_t()> pace = {})
        : descriptor(descriptor)
        , pace(std::move(pace))
    {}

    /// Reads one message; \a isResponse allows a body that ends with the connection.
    ReadEnd read(Message &message, double until, bool isResponse)
    {
        message = Message();
        std::size_t headEnd = 0;
        while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (const ReadEnd end = this->fill(until); end != ReadEnd::Whole)
                return end;
        }
        this->parseHead(this->buffer.substr(0, headEnd), message);
        this->buffer.erase(0, headEnd + 4);
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0)
            return this->readChunks(message, until);
        if (!message.has("Content-Length") && isResponse)
            return this->readToEnd(message, until);
        const auto length =
                static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
        while (this->buffer.size() < length) {
            if (const ReadEnd end = this->fill(until); end != ReadEnd::Whole) {
                message.body = this->buffer;
                return end;
            }
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return ReadEnd::Whole;
    }

private:
    ReadEnd fill(double until)
    {
        const std::size_t most = this->pace ? this->pace() : 65'536;
        pollfd waiting{this->descriptor, POLLIN, 0};
        const double left = until - now();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1e3) + 1) == 0)
            return ReadEnd::TimedOut;
        std::vector<char> bytes(most);
        const ssize_t count = recv(this->descriptor, bytes.data(), bytes.size(), 0);
        if (count < 0)
            return ReadEnd::Reset;
        if (count == 0)
            return ReadEnd::Closed;
        this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return ReadEnd::Whole;
    }

    static void parseHead(const std::string &head, Message &message)
    {
        std::size_t begin = 0;
        bool isFirst = true;
        while (begin <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, end - begin);
            begin = end + 2;
            if (isFirst) {
                message.start = line;
                isFirst = false;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
        }
    }

    ReadEnd readChunks(Message &message, double until)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (const ReadEnd end = this->fill(until); end != ReadEnd::Whole)
                    return end;
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, lineEnd + 2);
            while (this->buffer.size() < size + 2) {
                if (const ReadEnd end = this->fill(until); end != ReadEnd::Whole) {
                    message.body += this->buffer;
                    return end;
                }
            }
            message.body += this->buffer.substr(0, size);
            this->buffer.erase(0, size + 2);
            if (size == 0)
                return ReadEnd::Whole;
        }
    }

    ReadEnd readToEnd(Message &message, double until)
    {
        ReadEnd end = ReadEnd::Whole;
        while (end == ReadEnd::Whole)
            end = this->fill(until);
        message.body = std::exchange(this->buffer, {});
        return end == ReadEnd::Closed ? ReadEnd::Whole : end;
    }

    int descriptor;
    std::function<std::size_t()> pace;
    std::string buffer;
};

/// Serves each connection to \a port on a thread of its own.
inline void serve(int listener, std::function<void(int descriptor)> handler)
{
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int one = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([handler, descriptor] {
                handler(descriptor);
                close(descriptor);
            }).detach();
        }
    }).detach();
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

class Store
{
public:
    Store()
    {
        const int listener = listenOn(this->port);
        serve(listener, [this](int descriptor) { this->onConnection(descriptor); });
    }

    /// Writes an object as the operator, a server or another writer does.
    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->write(kind, name, spec);
    }

    std::size_t count(const std::string &kind)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->objects[kind].size();
    }

    int port = 0;

private:
    void write(const std::string &kind, const std::string &name, const Json &spec)
    {
        auto &kindObjects = this->objects[kind];
        const auto found = kindObjects.find(name);
        if (found != kindObjects.end() && found->second["spec"] == spec)
            return;
        const std::uint64_t created =
                found == kindObjects.end()
                        ? this->revision + 1
                        : found->second["metadata"]["created"].get<std::uint64_t>();
        ++this->revision;
        const Json object = {{"metadata",
                              {{"name", name},
                               {"rev", this->revision},
                               {"created", created},
                               {"finalizers", Json::array()},
                               {"deleting", false}}},
                             {"spec", spec},
                             {"status", nullptr}};
        kindObjects[name] = object;
        this->history.push_back({kind, this->revision, {{"removed", false}, {"object", object}}});
        this->changed.notify_all();
    }

    void onConnection(int descriptor)
    {
        Reader reader(descriptor);
        Message request;
        while (reader.read(request, now() + 600, false) == ReadEnd::Whole) {
            const auto [status, body] = this->answer(request);
            const std::string text = body.dump();
            if (!sendAll(descriptor, "HTTP/1.1 " + std::to_string(status)
                                             + " X\r\nContent-Type: application/json\r\n"
                                               "Store-Era: 1\r\nContent-Length: "
                                             + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    std::pair<int, Json> answer(const Message &request)
    {
        const std::string prefix = "/-/objects/";
        const std::string method = request.word(0);
        const std::string target = request.word(1);
        if (target.compare(0, prefix.size(), prefix) != 0)
            return {404, Json::object()};
        const std::size_t query = target.find('?');
        std::string kind = target.substr(prefix.size(), query - prefix.size());
        const std::string parameters = query == std::string::npos ? "" : target.substr(query);
        std::string name;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        const auto parameter = [&parameters](const char *key) -> long {
            const std::size_t at = parameters.find(std::string(key) + "=");
            return at == std::string::npos
                           ? -1
                           : std::atol(parameters.c_str() + at + std::strlen(key) + 1);
        };
        std::unique_lock<std::mutex> lock(this->mutex);
        if (method == "GET" && parameter("watch") >= 0)
            return {200, this->watch(lock, kind, static_cast<std::uint64_t>(parameter("watch")),
                                     std::max(0L, parameter("wait_ms")))};
        auto &kindObjects = this->objects[kind];
        if (method == "GET" && name.empty()) {
            Json items = Json::array();
            for (const auto &entry : kindObjects)
                items.push_back(entry.second);
            return {200, {{"items", items}, {"more", false}, {"at", this->revision}}};
        }
        if (method == "GET")
            return kindObjects.count(name) > 0 ? std::make_pair(200, kindObjects[name])
                                               : std::make_pair(404, Json::object());
        if (method == "DELETE") {
            const auto found = kindObjects.find(name);
            if (found == kindObjects.end())
                return {404, Json::object()};
            ++this->revision;
            this->history.push_back(
                    {kind, this->revision, {{"removed", true}, {"object", found->second}}});
            const Json object = found->second;
            kindObjects.erase(found);
            this->changed.notify_all();
            return {200, object};
        }
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("metadata"))
            return {400, Json::object()};
        const std::string written = body["metadata"].value("name", name);
        if (method == "POST" && kindObjects.count(written) > 0)
            return {409, kindObjects[written]};
        this->write(kind, written, body.value("spec", Json()));
        return {method == "POST" ? 201 : 200, kindObjects[written]};
    }

    Json watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t after,
               long waitMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        while (true) {
            Json events = Json::array();
            for (const Change &change : this->history) {
                if (change.kind == kind && change.revision > after)
                    events.push_back(change.event);
            }
            if (!events.empty() || Clock::now() >= until)
                return {{"events", events}, {"at", this->revision}};
            this->changed.wait_until(lock, until);
        }
    }

    struct Change
    {
        std::string kind;
        std::uint64_t revision;
        Json event;
    };

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, Json>> objects;
    std::vector<Change> history;
};

// ---------------------------------------------------------------------------------------------
// Gateways.

struct Gateway
{
    std::string name;
    std::string zone;
    int firstPort = 0; ///< Callers; then readiness, operators, peers and relay.
    pid_t pid = 0;
    std::string settingsPath;

    int callers() const { return this->firstPort; }

    void start(int storePort, const std::string &additional = "")
    {
        if (this->firstPort == 0)
            this->firstPort = freePorts(5);
        const auto at = [this](int offset) {
            return "\"127.0.0.1:" + std::to_string(this->firstPort + offset) + "\"\n";
        };
        this->settingsPath = temporaryFolder + "/" + this->name + ".yaml";
        std::ofstream settings(this->settingsPath);
        // deploy/settings.yaml, as the platform fills it in.
        settings << "host: \"" << this->name << "\"\nfailure-domain: \"" << this->zone
                 << "\"\ncallers: " << at(0) << "readiness: " << at(1) << "operators: " << at(2)
                 << "peers: " << at(3) << "platform: \"127.0.0.1:" << storePort
                 << "\"\nplatform-timeout-ms: 1500\nheartbeat-interval-ms: 500\n"
                    "max-open-files: 4100\nmemory-mb: 260\nretry-ratio: 0.2\nretry-slack: 106\n"
                    "retry-window-seconds: 10\nshutdown-limit-seconds: 8\n"
                 << additional;
        settings.close();
        const std::string logPath = temporaryFolder + "/" + this->name + ".log";
        this->pid = fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl("target/dotterelgateway", "target/dotterelgateway", "--settings",
                  this->settingsPath.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
        const std::lock_guard<std::mutex> lock(childrenMutex);
        children.push_back(this->pid);
    }

    /// Returns how the process ended, or nothing while it runs.
    std::string ended()
    {
        int status = 0;
        if (this->pid == 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
            return {};
        {
            const std::lock_guard<std::mutex> lock(childrenMutex);
            children.erase(std::remove(children.begin(), children.end(), this->pid),
                           children.end());
        }
        this->pid = 0;
        return WIFSIGNALED(status) ? std::string("signal ") + strsignal(WTERMSIG(status))
                                   : "exit code " + std::to_string(WEXITSTATUS(status));
    }

    bool isReady() const
    {
        const int descriptor = connectTo(this->firstPort + 1);
        if (descriptor < 0)
            return false;
        Message answer;
        sendAll(descriptor, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const bool ready = Reader(descriptor).read(answer, now() + 1, true) == ReadEnd::Whole
                           && answer.status() == 200;
        close(descriptor);
        return ready;
    }

    bool waitUntilReady(double seconds) const
    {
        for (const double until = now() + seconds; now() < until; sleepFor(0.05)) {
            if (this->isReady())
                return true;
        }
        return false;
    }
};

// ---------------------------------------------------------------------------------------------
// The deployment: one service of engines and one plain service, with the figures of the site files.

constexpr const char *HostName = "shop.example";
constexpr const char *ApiKey = "n2ctnfzs989anu6wsjnb";
constexpr const char *Tenant = "hule930";
constexpr const char *EnginePool = "llm";
constexpr const char *PlainPool = "app";
constexpr std::int64_t ServerBorn = 1'780'000'000'000;

inline Json engineProfile()
{
    return {{"slots", 16},
            {"kv_tokens", 405000},
            {"kv_bytes", 163840},
            {"stride", 34},
            {"step_ms", 1.31},
            {"per_seq_ms", 0.000917},
            {"context_per_k", 0.00213},
            {"read_per_s", 154000.0},
            {"pairs_per_m", 0.162},
            {"chunk", 2048},
            {"report_lag_ms", 200.0},
            {"hop_ms", 0.1},
            {"usual", {{"prompt", 11323}, {"answer", 1266}}}};
}

inline Json configuration(int version)
{
    const auto route = [](const char *name, const char *prefix, const char *kind,
                          const char *service, int timeoutMs, int goalMs, int attempts) {
        Json result = {{"name", name},
                       {"host", HostName},
                       {"path_prefix", prefix},
                       {"kind", kind},
                       {"timeout_ms", timeoutMs},
                       {"goal_ms", goalMs},
                       {"priority", 1},
                       {"service", service},
                       {"max_attempts", attempts},
                       {"no_auth", false},
                       {"sticky", std::string(kind) == "stream"}};
        if (std::string(kind) == "stream") {
            result["resumable"] = true;
            result["gap_target_ms"] = 250;
        }
        return result;
    };
    return {{"version", version},
            {"routes",
             {route("ask", "/ask/", "stream", EnginePool, 10000, 300, 2),
              route("archive", "/archive/", "stream", EnginePool, 15000, 4000, 2),
              route("order", "/order/", "non_idempotent", PlainPool, 1200, 150, 1),
              route("look", "/look/", "idempotent", PlainPool, 1200, 150, 2)}},
            {"services",
             {{{"name", EnginePool},
               {"health_path", "/health"},
               {"max_conns", 374},
               {"protocol", "h1"},
               {"tls", false},
               {"engine", engineProfile()}},
              {{"name", PlainPool},
               {"health_path", "/health"},
               {"max_conns", 110},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", Tenant}, {"api_keys", {ApiKey}}, {"priority", 1}}}}};
}

inline Json serverEntry(const std::string &service, const std::string &address,
                        const std::string &zone, int slots)
{
    return {{"service", service}, {"address", address}, {"zone", zone},
            {"version", "v1"},    {"slots", slots},     {"state", "ready"},
            {"cold_left_ms", 0},  {"seq", 4},           {"born", ServerBorn}};
}

/// Returns the head of a server's answer, without its last empty line.
inline std::string answerHead(int status, const std::string &requestId, const std::string &serverId,
                              int slots)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request-Id: " + requestId;
    head += "\r\nX-Server-Seal: " + serverId + "." + requestId;
    head += "\r\nX-Server-Load: 1,0," + std::to_string(slots) + "\r\n";
    return head;
}

/// Returns the answer of a server to a health check, a report or an order.
inline std::string plainAnswer(const std::string &serverId, const std::string &body)
{
    std::string answer = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + serverId;
    answer += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return answer;
}

/// What a server says of itself.
inline std::string reportBody()
{
    return Json({{"stage", "both"},
                 {"models", Json::array()},
                 {"busy", false},
                 {"seq", 0},
                 {"queued", 0},
                 {"active", 0},
                 {"born", ServerBorn}})
            .dump();
}

inline std::string newRequestId()
{
    static std::atomic<unsigned> count{0};
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(getpid()),
                  count.fetch_add(1) + 1);
    return text;
}

/// Head of a client's request.
inline std::string requestHead(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs, std::size_t bodyBytes,
                               const std::string &additional = "")
{
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + HostName + "\r\nX-Request-Id: "
                       + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
                       + "\r\nApi-Key: " + ApiKey + "\r\n" + additional;
    if (method != "GET")
        head += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    return head + "\r\n";
}

inline std::string promptHeaders(std::uint64_t promptTokens, std::uint64_t outputTokens,
                                 const std::string &id)
{
    return "X-Model: m\r\nX-Token-Counts: " + std::to_string(promptTokens) + ","
           + std::to_string(outputTokens) + "\r\nX-Prompt-Prefix: 5c1e07a2:40," + id + ":"
           + std::to_string(promptTokens - 40) + "\r\n";
}

} // namespace stand
