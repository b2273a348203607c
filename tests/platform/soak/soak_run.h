#pragma once

#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_checker.h"
#include "platform/soak/soak_server.h"
#include "platform/soak/soak_store.h"
#include "support/child_process.h"
#include "transport/kept_http_client.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace dotterel::soak {

/// Options of a SoakRun.
struct SoakOptions
{
    std::string program;          ///< Path of the gateway executable.
    std::string directory;        ///< Directory for the settings and logs of the hosts.
    std::uint64_t seed = 1;       ///< Seed of the fault schedule and of the load.
    std::size_t hosts = 4;        ///< Number of hosts; they are spread over two failure domains.
    std::size_t serversAPool = 3; ///< Number of servers in each of the two pools.
    Duration length = std::chrono::seconds(20);
};

/// One run of the soak test: starts gateway processes against stand-ins in this process, sends
/// requests to them and injects overlapping faults into links, processes, servers, store and
/// configuration. A SoakRecord checks what callers and servers observe.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();

    /// Executes the run from start to recovery.
    void play();

    const SoakChecker &checkResults() const { return this->checker; }
    std::size_t faults() const { return this->faultsStarted; }

private:
    struct Host
    {
        std::string name;
        std::string settingsPath;
        std::string logPath;
        std::unique_ptr<LoopbackProxy> store;
        std::unique_ptr<support::ChildProcess> process;
        std::uint64_t incarnation = 0;
        std::optional<Endpoint> callers; ///< Absent until the host has logged its port.
        bool isStopped = false;
        bool isLeaving = false;
        TimePoint calmSince; ///< Time of the last fault of the host, its store link or the store.
    };

    void runFor(Duration duration);
    void later(Duration delay, std::function<void()> action);

    void startHost(Host &host);
    void superviseHosts();
    void disturb(std::size_t host);
    void freezeHost(std::size_t host);
    void killHost(std::size_t host);
    void leaveHost(std::size_t host);

    void addServer(const std::string &pool);
    void leaveServer();
    void publishConfiguration();

    Duration drawFaultSpan();
    void scheduleFault();
    void startFault();
    void harmHost(std::size_t host);
    void harmStore();
    void harmServer();
    void harmLinks();
    void healAll();

    void scheduleRequest();
    void sendRequest(std::size_t host, RequestKind kind);
    void checkProbe(const std::string &id, std::size_t host);
    void checkRecovery();

    SoakOptions options;
    EventLoop loop;
    SeededRandom random;
    SoakChecker checker;
    SoakStore store;
    KeptHttpClient client;
    std::vector<Host> hosts;
    std::list<std::unique_ptr<SoakServer>>
            servers; ///< Includes drained servers, which respond until the end of the run.
    std::vector<SoakServer *> listed;
    std::vector<std::pair<std::uint64_t, TimePoint>>
            configurations; ///< Versions and the times of their publication.
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> fetches;
    std::list<EventLoop::TimerHandle> timers;
    std::uint64_t nextRequest = 1;
    std::uint64_t nextServer = 1;
    std::size_t faultsStarted = 0;
    bool isQuiet = false;
};

} // namespace dotterel::soak
