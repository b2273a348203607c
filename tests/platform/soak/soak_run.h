#pragma once

#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_checker.h"
#include "platform/soak/soak_server.h"
#include "platform/soak/soak_store.h"
#include "support/child_process.h"
#include "transport/keep_alive_http_client.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace dotterel::soak {

/// Options of a SoakRun.
struct SoakOptions
{
    std::string gatewayPath;        ///< Path of the gateway executable.
    std::string directory;          ///< Directory for the settings and logs of the hosts.
    std::uint64_t seed = 1;         ///< Seed of the fault schedule and of the load.
    std::size_t hostCount = 4;      ///< Number of hosts; they are spread over two failure domains.
    std::size_t serversPerPool = 3; ///< Number of servers in each of the two pools.
    Duration faultDuration = std::chrono::seconds(20);
};

/// One run of the soak test: starts gateway processes against stand-ins in this process, sends
/// requests to them and injects overlapping faults into links, processes, servers, store and
/// configuration. A SoakChecker checks what callers and servers observe.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();

    /// Executes the run from start to recovery.
    void execute();

    const SoakChecker &results() const { return this->checker; }
    std::size_t faultCount() const { return this->startedFaults; }

private:
    struct Host
    {
        std::string name;
        std::string settingsPath;
        std::string logPath;
        std::unique_ptr<LoopbackProxy> storeProxy;
        std::unique_ptr<support::ChildProcess> process;
        std::uint64_t incarnation = 0;
        std::optional<Endpoint> callerEndpoint; ///< Absent until the host has logged its port.
        bool isSuspended = false;
        bool expectsExit = false;
        /// Time of the last fault of the host, its store link or the store.
        TimePoint undisturbedSince;
    };

    void runLoopFor(Duration duration);
    void runAfter(Duration delay, std::function<void()> action);

    void startHost(Host &host);
    /// Restarts hosts that exited and reads the ports of those that have started.
    void superviseHosts();
    void markInterrupted(std::size_t host);
    void suspendHost(std::size_t host);
    void killHost(std::size_t host);
    void shutDownHost(std::size_t host);

    void addServer(const std::string &pool);
    void drainServer();
    void publishConfiguration();

    Duration randomFaultDuration();
    void scheduleNextFault();
    void startFault();
    void startHostFault(std::size_t host);
    void startStoreFault();
    void startServerFault();
    void startLinkFault();
    void endAllFaults();

    void scheduleNextRequest();
    void sendRequest(std::size_t host, RequestKind kind);
    /// Checks a failed configuration probe: the host must not be late in applying the version.
    void checkConfigurationLimit(const std::string &id, std::size_t host);
    void checkRecovery();

    SoakOptions options;
    EventLoop loop;
    SeededRandom random;
    SoakChecker checker;
    SoakStore store;
    KeepAliveHttpClient client;
    std::vector<Host> hosts;
    /// Includes drained servers, which respond until the end of the run.
    std::list<std::unique_ptr<SoakServer>> servers;
    std::vector<SoakServer *> activeServers;
    /// Versions and the times of their publication.
    std::vector<std::pair<std::uint64_t, TimePoint>> publishedConfigurations;
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> fetches;
    std::list<EventLoop::TimerHandle> timers;
    std::uint64_t nextRequestNumber = 1;
    std::uint64_t nextServerNumber = 1;
    std::size_t startedFaults = 0;
    bool faultsEnded = false; ///< No new faults and no random requests are started.
};

} // namespace dotterel::soak
