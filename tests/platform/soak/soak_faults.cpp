// The faults of a SoakRun: which, when and for how long.

#include "platform/soak/soak_run.h"

#include <array>
#include <csignal>

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

/// Between two faults, on average.
constexpr std::uint64_t FaultGapMs = 350;
/// How long a fault lasts.
constexpr std::uint64_t ShortestFaultMs = 200;
constexpr std::uint64_t LongestFaultMs = 2'500;

} // namespace

void SoakRun::disturb(std::size_t host)
{
    this->promises.onHostDisturbed(host);
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
    return milliseconds(ShortestFaultMs + this->random.nextBelow(LongestFaultMs - ShortestFaultMs));
}

void SoakRun::scheduleFault()
{
    this->later(milliseconds(1 + this->random.nextBelow(2 * FaultGapMs)), [this] {
        if (this->isQuiet)
            return;
        ++this->faultsStarted;
        this->startFault();
        this->scheduleFault();
    });
}

void SoakRun::startFault()
{
    const std::size_t host = this->random.nextBelow(this->hosts.size());
    switch (this->random.nextBelow(8)) {
    case 0:
        return this->publishConfiguration();
    case 1:
        return this->leaveServer();
    case 2:
        return this->harmStore();
    case 3:
        return this->harmHost(host);
    case 4:
        return this->hosts[host].store->resetAll();
    case 5:
        return this->harmServer();
    default:
        return this->harmLinks();
    }
}

void SoakRun::harmHost(std::size_t host)
{
    const double draw = this->random.nextDouble();
    if (draw < 0.4)
        return this->freezeHost(host);
    if (draw < 0.7)
        return this->killHost(host);
    this->leaveHost(host);
}

void SoakRun::harmStore()
{
    constexpr std::array<StoreFault, 3> Faults = {StoreFault::Refusing, StoreFault::Slow,
                                                  StoreFault::LosesAnswers};
    for (Host &host : this->hosts)
        host.calmSince = this->loop.now();
    const std::uint64_t draw = this->random.nextBelow(Faults.size() + 1);
    if (draw == Faults.size())
        return this->store.forgetHistory();
    this->store.setFault(Faults[draw]);
    this->later(this->drawFaultSpan(), [this] {
        this->store.setFault(StoreFault::None);
        for (Host &host : this->hosts)
            host.calmSince = this->loop.now();
    });
}

void SoakRun::harmServer()
{
    constexpr std::array<ServerFault, 4> Faults = {ServerFault::Refusing, ServerFault::LosesAnswers,
                                                   ServerFault::Mute, ServerFault::Cuts};
    SoakServer *server = this->listed[this->random.nextBelow(this->listed.size())];
    server->setFault(Faults[this->random.nextBelow(Faults.size())]);
    this->later(this->drawFaultSpan(), [server] { server->setFault(ServerFault::None); });
}

void SoakRun::harmLinks()
{
    constexpr std::array<LinkFault, 4> Faults = {LinkFault::Delayed, LinkFault::NoRequests,
                                                 LinkFault::NoAnswers, LinkFault::Silent};
    const LinkFault fault = Faults[this->random.nextBelow(Faults.size())];
    const Duration span = this->drawFaultSpan();
    if (this->random.nextDouble() < 0.5) {
        LoopbackProxy &links = this->listed[this->random.nextBelow(this->listed.size())]->links();
        links.setFault(fault);
        this->later(span, [&links] { links.setFault(LinkFault::None); });
        return;
    }
    const std::size_t host = this->random.nextBelow(this->hosts.size());
    this->hosts[host].store->setFault(fault);
    this->hosts[host].calmSince = this->loop.now();
    this->later(span, [this, host] {
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
        server->links().setFault(LinkFault::None);
    }
    for (Host &host : this->hosts) {
        host.store->setFault(LinkFault::None);
        if (host.isStopped)
            host.process->signal(SIGCONT);
        host.isStopped = false;
    }
}

} // namespace dotterel::soak
