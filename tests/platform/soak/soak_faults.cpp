// Fault injection of SoakRun: selection, schedule and duration of the faults.

#include "platform/soak/soak_run.h"

#include <array>
#include <csignal>

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

/// Mean time between two faults. In a run of drills there are fewer of them, so that hosts count as
/// in touch for long enough to be judged.
constexpr std::uint64_t MeanFaultIntervalMs = 350;
constexpr std::uint64_t MeanDrillIntervalMs = 1'500;
/// Range of the duration of a fault.
constexpr std::uint64_t MinFaultMs = 200;
constexpr std::uint64_t MaxFaultMs = 2'500;

} // namespace

Duration SoakRun::randomFaultDuration()
{
    return milliseconds(MinFaultMs + this->random.nextBelow(MaxFaultMs - MinFaultMs));
}

void SoakRun::scheduleNextFault()
{
    const std::uint64_t interval =
            this->kind == SoakRunKind::Drills || this->kind == SoakRunKind::DeadlyLoad
                    ? MeanDrillIntervalMs
                    : MeanFaultIntervalMs;
    this->runAfter(milliseconds(1 + this->random.nextBelow(2 * interval)), [this] {
        if (this->faultsEnded)
            return;
        ++this->startedFaults;
        if (this->kind == SoakRunKind::Drills)
            this->startDrill();
        else if (this->kind == SoakRunKind::BrokenResponses)
            this->startResponseFault();
        else if (this->kind == SoakRunKind::DeadlyLoad)
            this->startFaultBesideDeadlyLoad();
        else if (this->kind == SoakRunKind::OddValues)
            this->startFaultBesideOddValues();
        else
            this->startFault();
        this->scheduleNextFault();
    });
}

void SoakRun::startFault()
{
    const std::size_t host = this->random.nextBelow(this->hosts.size());
    switch (this->random.nextBelow(13)) {
    case 0:
        return this->publishConfiguration();
    case 1:
        return this->drainServer();
    case 2:
        return this->startStoreFault();
    case 3:
        return this->startHostFault(host);
    case 4:
        this->disturbHost(host);
        return this->hosts[host].storeProxy->resetConnections();
    case 5:
        return this->startServerFault();
    case 6:
        return this->restoreStore();
    case 7:
        return this->startSilence();
    case 8:
        return this->leaveByHeader();
    case 9:
        return this->pauseServers();
    case 10:
        return this->restartInSeries();
    default:
        return this->startLinkFault();
    }
}

void SoakRun::startHostFault(std::size_t host)
{
    const double randomValue = this->random.nextDouble();
    if (randomValue < 0.4)
        return this->suspendHost(host);
    if (randomValue < 0.7)
        return this->killHost(host);
    this->shutDownHost(host);
}

void SoakRun::startStoreFault()
{
    constexpr std::array<StoreFault, 3> FaultKinds = {
            StoreFault::RejectRequests, StoreFault::DelayCalls, StoreFault::DropResponses};
    if (this->storeAway)
        return;
    this->disturbAllHosts();
    const std::uint64_t randomValue = this->random.nextBelow(FaultKinds.size() + 1);
    if (randomValue == FaultKinds.size())
        return this->store.dropHistory();
    this->store.setFault(FaultKinds[randomValue]);
    this->runAfter(this->randomFaultDuration(), [this] {
        if (!this->storeAway)
            this->store.setFault(StoreFault::None);
        this->disturbAllHosts();
    });
}

void SoakRun::startServerFault()
{
    constexpr std::array<ServerFault, 6> FaultKinds = {
            ServerFault::RejectRequests, ServerFault::DropResponses,  ServerFault::NeverRespond,
            ServerFault::TearResponses,  ServerFault::ResetResponses, ServerFault::FloodResponses};
    if (this->activeServers.empty())
        return;
    SoakServer *server = this->activeServers[this->random.nextBelow(this->activeServers.size())];
    server->setFault(FaultKinds[this->random.nextBelow(FaultKinds.size())]);
    this->runAfter(this->randomFaultDuration(), [server] { server->setFault(ServerFault::None); });
}

void SoakRun::startResponseFault()
{
    switch (this->random.nextBelow(8)) {
    case 0:
        return this->publishConfiguration();
    case 1:
        return this->drainServer();
    case 2:
        return this->startHostFault(this->random.nextBelow(this->hosts.size()));
    default:
        return this->startServerFault();
    }
}

void SoakRun::startFaultBesideDeadlyLoad()
{
    switch (this->random.nextBelow(6)) {
    case 0:
        return this->startDeadlyLoad();
    case 1:
        return this->restartInSeries();
    case 2:
    case 3:
        return this->startHostFault(this->random.nextBelow(this->hosts.size()));
    default:
        return this->startServerFault();
    }
}

void SoakRun::startLinkFault()
{
    constexpr std::array<LinkFault, 4> FaultKinds = {
            LinkFault::DelayBytes, LinkFault::DropClientBytes, LinkFault::DropServerBytes,
            LinkFault::DropAllBytes};
    const LinkFault fault = FaultKinds[this->random.nextBelow(FaultKinds.size())];
    const Duration duration = this->randomFaultDuration();
    if (this->random.nextDouble() < 0.5) {
        LoopbackProxy &proxy =
                this->activeServers[this->random.nextBelow(this->activeServers.size())]
                        ->linkProxy();
        proxy.setFault(fault);
        this->runAfter(duration, [&proxy] { proxy.setFault(LinkFault::None); });
        return;
    }
    const std::size_t host = this->random.nextBelow(this->hosts.size());
    this->hosts[host].storeProxy->setFault(fault);
    this->disturbHost(host);
    this->runAfter(duration, [this, host] {
        this->hosts[host].storeProxy->setFault(LinkFault::None);
        this->disturbHost(host);
    });
}

void SoakRun::endAllFaults()
{
    this->faultsEnded = true;
    if (!this->storeAway)
        this->store.setFault(StoreFault::None);
    for (const auto &server : this->servers) {
        server->setFault(ServerFault::None);
        server->nameLimit(std::nullopt);
        server->setLongAnswers(false);
        server->linkProxy().setFault(LinkFault::None);
    }
    for (Host &host : this->hosts) {
        host.storeProxy->setFault(LinkFault::None);
        if (host.isSuspended)
            host.process->signal(SIGCONT);
        host.isSuspended = false;
    }
    // The operators' work ends too; the warm-up that may follow it fits into the recovery time.
    if (!this->domainOutOfService.empty())
        this->putDomainInService();
}

} // namespace dotterel::soak
