#pragma once

#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_record.h"
#include "platform/soak/soak_server.h"
#include "platform/soak/soak_store.h"
#include "support/child_process.h"
#include "transport/keep_alive_http_client.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace dotterel::soak {

/// What a SoakRun plays.
struct SoakOptions
{
    std::string program;          ///< Path of the gateway's program.
    std::string directory;        ///< For settings and logs of the hosts.
    std::uint64_t seed = 1;       ///< Of the schedule of faults and of the load.
    std::size_t hosts = 4;        ///< In two failure domains.
    std::size_t serversAPool = 3; ///< Of the two pools.
    Duration length = std::chrono::seconds(20);
};

/// Runs gateways as processes against stand-ins in this process, with faults of links, processes,
/// servers, store and configuration in overlapping series, and calls on them all the while. What
/// callers and servers see is checked by a SoakRecord.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();

    /// Plays the whole run.
    void play();

    const SoakRecord &record() const { return this->promises; }
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
        std::optional<Endpoint> callers; ///< None until its log tells.
        bool isStopped = false;
        bool isLeaving = false;
        TimePoint calmSince; ///< When it was last harmed or cut from the store.
    };

    void runFor(Duration span);
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
    SoakRecord promises;
    SoakStore store;
    KeepAliveHttpClient client;
    std::vector<Host> hosts;
    std::list<std::unique_ptr<SoakServer>> servers; ///< Those that left answer until the end.
    std::vector<SoakServer *> listed;
    std::vector<std::pair<std::uint64_t, TimePoint>> configurations; ///< When each was written.
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> fetches;
    std::list<EventLoop::TimerHandle> timers;
    std::uint64_t nextRequest = 1;
    std::uint64_t nextServer = 1;
    std::size_t faultsStarted = 0;
    bool isQuiet = false;
};

} // namespace dotterel::soak
