// Fault injection of SoakRun: selection, schedule and duration of the faults.

#include "platform/soak/soak_run.h"

#include <array>
#include <csignal>

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

/// Mean time between two faults.
constexpr std::uint64_t MeanFaultIntervalMs = 350;
/// Range of the duration of a fault.
constexpr std::uint64_t MinFaultMs = 200;
constexpr std::uint64_t MaxFaultMs = 2'500;

} // namespace

void SoakRun::disturb(std::size_t host)
{
    this->checker.onHostInterrupted(host);
    this->hosts[host].calmSince = this->loop.now();
}

void SoakRun::freezeHost(std::size_t host)
{
    if (this->hosts[host].isStopped || this->hosts[host].isLeaving)
        return;
    this->disturb(host);
    this->hosts[host].isStopped = true;
    this->hosts[host].process->signal(SIGSTOP);
    const std::uint64_t incarnation = this->hosts[host].incarnation;
    this->later(this->drawFaultSpan(), [this, host, incarnation] {
        if (this->hosts[host].incarnation != incarnation)
            return;
        this->disturb(host);
        this->hosts[host].process->signal(SIGCONT);
        this->hosts[host].isStopped = false;
    });
}

void SoakRun::killHost(std::size_t host)
{
    this->disturb(host);
    this->hosts[host].isLeaving = true;
    this->hosts[host].process->signal(SIGKILL);
}

void SoakRun::leaveHost(std::size_t host)
{
    if (this->hosts[host].isStopped)
        return;
    this->hosts[host].isLeaving = true;
    this->hosts[host].process->signal(SIGTERM);
}

Duration SoakRun::drawFaultSpan()
{
    return milliseconds(MinFaultMs + this->random.below(MaxFaultMs - MinFaultMs));
}

void SoakRun::scheduleFault()
{
    this->later(milliseconds(1 + this->random.below(2 * MeanFaultIntervalMs)), [this] {
        if (this->isQuiet)
            return;
        ++this->faultsStarted;
        this->startFault();
        this->scheduleFault();
    });
}

void SoakRun::startFault()
{
    const std::size_t host = this->random.below(this->hosts.size());
    switch (this->random.below(8)) {
    case 0:
        return this->publishConfiguration();
    case 1:
        return this->leaveServer();
    case 2:
        return this->harmStore();
    case 3:
        return this->harmHost(host);
    case 4:
        return this->hosts[host].store->resetConnections();
    case 5:
        return this->harmServer();
    default:
        return this->harmLinks();
    }
}

void SoakRun::harmHost(std::size_t host)
{
    const double randomValue = this->random.unit();
    if (randomValue < 0.4)
        return this->freezeHost(host);
    if (randomValue < 0.7)
        return this->killHost(host);
    this->leaveHost(host);
}

void SoakRun::harmStore()
{
    constexpr std::array<StoreFault, 3> FaultKinds = {
            StoreFault::RejectRequests, StoreFault::DelayCalls, StoreFault::DropResponses};
    for (Host &host : this->hosts)
        host.calmSince = this->loop.now();
    const std::uint64_t randomValue = this->random.below(FaultKinds.size() + 1);
    if (randomValue == FaultKinds.size())
        return this->store.dropHistory();
    this->store.setFault(FaultKinds[randomValue]);
    this->later(this->drawFaultSpan(), [this] {
        this->store.setFault(StoreFault::None);
        for (Host &host : this->hosts)
            host.calmSince = this->loop.now();
    });
}

void SoakRun::harmServer()
{
    constexpr std::array<ServerFault, 4> FaultKinds = {
            ServerFault::RejectRequests, ServerFault::DropResponses, ServerFault::NeverRespond,
            ServerFault::TruncateResponses};
    SoakServer *server = this->listed[this->random.below(this->listed.size())];
    server->setFault(FaultKinds[this->random.below(FaultKinds.size())]);
    this->later(this->drawFaultSpan(), [server] { server->setFault(ServerFault::None); });
}

void SoakRun::harmLinks()
{
    constexpr std::array<LinkFault, 4> FaultKinds = {
            LinkFault::DelayBytes, LinkFault::DropClientBytes, LinkFault::DropServerBytes,
            LinkFault::DropAllBytes};
    const LinkFault fault = FaultKinds[this->random.below(FaultKinds.size())];
    const Duration duration = this->drawFaultSpan();
    if (this->random.unit() < 0.5) {
        LoopbackProxy &proxy = this->listed[this->random.below(this->listed.size())]->linkProxy();
        proxy.setFault(fault);
        this->later(duration, [&proxy] { proxy.setFault(LinkFault::None); });
        return;
    }
    const std::size_t host = this->random.below(this->hosts.size());
    this->hosts[host].store->setFault(fault);
    this->hosts[host].calmSince = this->loop.now();
    this->later(duration, [this, host] {
        this->hosts[host].store->setFault(LinkFault::None);
        this->hosts[host].calmSince = this->loop.now();
    });
}

void SoakRun::healAll()
{
    this->isQuiet = true;
    this->store.setFault(StoreFault::None);
    for (const auto &server : this->servers) {
        server->setFault(ServerFault::None);
        server->linkProxy().setFault(LinkFault::None);
    }
    for (Host &host : this->hosts) {
        host.store->setFault(LinkFault::None);
        if (host.isStopped)
            host.process->signal(SIGCONT);
        host.isStopped = false;
    }
}

} // namespace dotterel::soak
