#pragma once

#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_bounds.h"
#include "platform/soak/soak_checker.h"
#include "platform/soak/soak_server.h"
#include "platform/soak/soak_store.h"
#include "support/child_process.h"
#include "support/raw_client.h"
#include "transport/keep_alive_http_client.h"

#include <deque>
#include <list>
#include <memory>
#include <set>
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
    bool deadlyLoad = false;    ///< Play SoakRunKind::DeadlyLoad; else the seed decides.
    bool oddValues = false;     ///< Play SoakRunKind::OddValues.
    double deadlyPartShare = 0; ///< Share of parts of prompts among the deadly load.
};

/// Which faults a SoakRun plays.
enum class SoakRunKind {
    AllFaults,
    Drills,          ///< The users' drills, with time between them.
    BrokenResponses, ///< Mostly servers whose responses break off or never end.
    DeadlyLoad,      ///< Requests that crash servers, next to faults of hosts and servers.
    OddValues,       ///< Odd values from outside, next to long answers and faults of hosts.
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

    /// Sends \a floods requests to one host whose servers answer without end, next to streams of
    /// other servers, and returns the times from the requests to the ends of these streams. Without
    /// floods it is the same load alone.
    std::vector<Duration> executeFloods(std::size_t floods);

    const SoakChecker &results() const { return this->checker; }
    const SoakCrashes &deadlyLoad() const { return this->crashes; }
    std::size_t faultCount() const { return this->startedFaults; }
    std::size_t peakMemoryMb() const { return this->highestMemoryMb; }

private:
    /// Time from the signal to the end of a process.
    static constexpr Duration GracePeriod = std::chrono::seconds(8);
    static constexpr Duration StreamTimeout = std::chrono::seconds(6);

    struct Host
    {
        std::string name;
        std::string settingsPath;
        std::string logPath;
        std::unique_ptr<LoopbackProxy> storeProxy;
        std::unique_ptr<support::ChildProcess> process;
        std::uint64_t incarnation = 0;
        std::optional<Endpoint> callerEndpoint; ///< Absent until the host has logged its port.
        Endpoint peerEndpoint;                  ///< As callerEndpoint.
        Endpoint operatorEndpoint;
        bool isSuspended = false;
        bool expectsExit = false;
        bool isKilled = false;
    };

    /// Starts all hosts; returns false if one does not start.
    bool startHosts();
    void runLoopFor(Duration duration);
    void runAfter(Duration delay, std::function<void()> action);

    void startHost(Host &host);
    /// Restarts hosts that exited and reads the ports of those that have started.
    void superviseHosts();
    /// Checks that the process of \a host, which has ended, was told to, and ended as told.
    void checkExit(Host &host);
    void markInterrupted(std::size_t host);
    void suspendHost(std::size_t host);
    void killHost(std::size_t host);
    void shutDownHost(std::size_t host);

    void addServer(const std::string &pool);
    void drainServer();
    void unregisterServer(const std::string &id);
    void publishConfiguration();

    // Drills
    void startDrill();
    void takeCopies();
    void restoreStore();
    void rewriteLostEntries();
    void writeServerEntry(const SoakServer &server);
    void startSilence();
    void leaveByHeader();
    void pauseServers();
    /// Makes servers name limits at times, next to the faults of the run.
    void scheduleLimits();
    void limitServers();
    /// Takes a failure domain out of service at times, and lets servers warm up, next to the faults
    /// of the run.
    void scheduleDomains();
    void takeDomainOutOfService();
    void putDomainInService();
    void removeDomainEntry();
    /// Writes the operators' entry again after the store came back from a copy.
    void rewriteDomainEntry();
    /// Leaves odd objects in the store at times, next to the faults of the run.
    void scheduleOddEntries();
    void leaveOddEntry();
    /// Begins to play odd values; one server's entry goes through them, with sound ones between.
    void startOddValues();
    void playOddEntry();
    void writeOddEntry();
    /// Sends odd bytes to the ports of hosts, again and again, and leaves soon after.
    void playOddConnections();
    /// Returns an upgrade with odd frames behind it, cut at any byte.
    std::string drawOddFrames();
    /// Checks that the host of \a request, which got no answer, was killed or told to stop.
    void checkAnswered(const std::string &id, const SoakRequest &request);
    void restartInSeries();
    void losePower();
    void disturbHost(std::size_t host);
    void disturbAllHosts();

    Duration randomFaultDuration();
    void scheduleNextFault();
    void startFault();
    void startHostFault(std::size_t host);
    void startStoreFault();
    void startServerFault();
    void startResponseFault();
    void startFaultBesideDeadlyLoad();
    void startFaultBesideOddValues();
    void startLinkFault();
    void endAllFaults();

    void scheduleNextRequest();
    /// Returns the number of the request; 0 if it was not sent.
    std::uint64_t sendRequest(std::size_t host, RequestKind kind, const DeadlyLoad *load = nullptr);
    /// The caller of request \a number leaves.
    void leave(std::uint64_t number);

    // Deadly load
    /// Returns the parts of the prompt of request \a number, the last one its own.
    std::string promptParts(std::uint64_t number, const DeadlyLoad *load);
    void startDeadlyLoad();
    void sendDeadlyRequests(const DeadlyLoad &load);
    void onServerCrashed(SoakServer &server);

    /// Returns true if \a request ended with the grace period of its host, which was told to shut
    /// down shortly before or after it was sent.
    bool endedWithGracePeriod(const SoakRequest &request) const;
    void checkRecovery();
    void checkMemory();

    SoakOptions options;
    EventLoop loop;
    SeededRandom random;
    SeededRandom limitRandom;  ///< For the limits of servers, apart from the schedule of faults.
    SeededRandom domainRandom; ///< For failure domains and warm-ups, likewise.
    SeededRandom oddRandom;    ///< For odd objects and callers that leave, likewise.
    SoakChecker checker;
    SoakBounds bounds{this->checker};
    SoakCrashes crashes{this->checker, this->bounds};
    SoakStore store;
    std::deque<SoakStore::Copy> storeCopies;
    /// From the moment at which the store goes away until the operator has written again.
    bool storeAway = false;
    std::string domainOutOfService; ///< Empty if there is none.
    /// The next step of the operators towards the return of domainOutOfService.
    EventLoop::TimerHandle domainTimer;
    nlohmann::json newestConfiguration;
    /// When a process was told to shut down, by host and incarnation.
    std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> shutDownAt;
    std::set<std::string> registeredServers;
    std::set<std::string> drainingServers;
    KeepAliveHttpClient client;
    std::vector<Host> hosts;
    /// Includes drained servers, which respond until the end of the run.
    std::list<std::unique_ptr<SoakServer>> servers;
    std::vector<SoakServer *> activeServers;
    SoakServer *oddServer = nullptr; ///< The one whose entry goes through odd values.
    std::uint64_t newestVersion = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpFetch>> fetches;
    std::list<support::RawClient> rawClients;
    std::list<EventLoop::TimerHandle> timers;
    std::uint64_t nextRequestNumber = 1;
    std::uint64_t nextServerNumber = 1;
    std::uint64_t nextDeadlyNumber = 1;
    std::uint64_t nextOddNumber = 1;
    std::size_t startedFaults = 0;
    std::size_t highestMemoryMb = 0;
    std::set<std::string> hostsOverMemory; ///< Log files of processes over the limit.
    SoakRunKind kind;
    bool faultsEnded = false; ///< No new faults and no random requests are started.
};

} // namespace dotterel::soak
