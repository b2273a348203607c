// Failure domains that operators of a SoakRun take out of service and put back.

#include "platform/soak/soak_run.h"

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

constexpr const char *EntryKind = "evacuations";
/// Mean time between two entries, and how long one stands.
constexpr std::uint64_t MeanDomainIntervalMs = 2'000;
constexpr std::uint64_t MinOutOfServiceMs = 6'000;
constexpr std::uint64_t OutOfServiceSpreadMs = 4'000;
constexpr Duration StoreRetryInterval = milliseconds(200);
constexpr Duration DomainWarmUp = milliseconds(2'500);
constexpr Duration WarmUpLead = milliseconds(700);
constexpr double WarmUpShare = 0.5;

} // namespace

void SoakRun::scheduleDomains()
{
    this->runAfter(milliseconds(1 + this->domainRandom.nextBelow(2 * MeanDomainIntervalMs)),
                   [this] {
                       if (this->faultsEnded)
                           return;
                       this->takeDomainOutOfService();
                       this->scheduleDomains();
                   });
}

void SoakRun::takeDomainOutOfService()
{
    if (this->storeAway || !this->domainOutOfService.empty())
        return;
    this->domainOutOfService = "z-" + std::to_string(this->domainRandom.nextBelow(2));
    this->store.put(EntryKind, this->domainOutOfService, nlohmann::json::object());
    this->bounds.onDomainOutOfService(this->domainOutOfService, this->loop.now());
    this->domainTimer = this->loop.after(
            milliseconds(MinOutOfServiceMs + this->domainRandom.nextBelow(OutOfServiceSpreadMs)),
            [this] { this->putDomainInService(); });
}

void SoakRun::putDomainInService()
{
    if (this->storeAway) {
        this->domainTimer =
                this->loop.after(StoreRetryInterval, [this] { this->putDomainInService(); });
        return;
    }
    // Servers of a domain that comes back may have turned cold shortly before.
    if (this->domainRandom.nextDouble() < WarmUpShare) {
        for (SoakServer *server : this->activeServers) {
            if (server->domainName() != this->domainOutOfService)
                continue;
            server->warmUp(DomainWarmUp);
            this->writeServerEntry(*server);
        }
    }
    this->domainTimer = this->loop.after(WarmUpLead, [this] { this->removeDomainEntry(); });
}

void SoakRun::removeDomainEntry()
{
    if (this->storeAway) {
        this->domainTimer =
                this->loop.after(StoreRetryInterval, [this] { this->removeDomainEntry(); });
        return;
    }
    this->bounds.onDomainInService(this->domainOutOfService);
    this->store.remove(EntryKind, this->domainOutOfService);
    this->domainOutOfService.clear();
}

void SoakRun::rewriteDomainEntry()
{
    for (const char *domain : {"z-0", "z-1"}) {
        if (domain != this->domainOutOfService) {
            this->store.remove(EntryKind, domain);
            continue;
        }
        this->store.put(EntryKind, domain, nlohmann::json::object());
        this->bounds.onDomainOutOfService(domain, this->loop.now());
    }
}

} // namespace dotterel::soak
