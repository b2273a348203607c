#include "support/order_simulation.h"

#include "coordination/order_object_ledger.h"

namespace dotterel::support {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration PeerDelay = std::chrono::milliseconds(1);
constexpr Duration ServiceTime = std::chrono::milliseconds(20);

} // namespace

struct OrderSimulation::Host : public OrderOutcomeReplicator
{
    explicit Host(OrderSimulation &owner)
        : owner(owner)
    {}

    void replicateOutcome(const OrderOutcome &outcome) override
    {
        for (const HostPointer &peer : this->owner.hosts) {
            if (peer.get() == this)
                continue;
            this->owner.time.after(PeerDelay, [peer, outcome, &simulation = this->owner] {
                simulation.runOnHost(peer, [peer, outcome, &simulation] {
                    peer->ledger->adoptOutcome(outcome, simulation.time.now());
                });
            });
        }
    }

    OrderSimulation &owner;
    HostIdentity identity;
    std::unique_ptr<fakes::FakeObjectStore> store;
    std::unique_ptr<OrderLedger> ledger;
    bool isUp = true;
    bool isSuspended = false;
    std::vector<std::function<void()>> deferredEvents;
};

OrderSimulation::OrderSimulation(std::uint64_t seed, std::size_t hosts, Factory factory)
    : random(seed)
    , factory(std::move(factory))
    , hosts(hosts)
{
    for (std::size_t i = 0; i < hosts; ++i)
        this->restart(i);
}

OrderSimulation::~OrderSimulation()
{
    for (const HostPointer &host : this->hosts)
        host->deferredEvents.clear();
}

std::size_t OrderSimulation::submit(std::size_t hostIndex, const std::string &key,
                                    const std::string &body, Duration deadline)
{
    const std::size_t orderIndex = this->orders.size();
    const HostPointer host = this->hosts.at(hostIndex);
    SimulatedOrder order;
    order.claim = {std::to_string(orderIndex), "harinal", key, body, this->time.now() + deadline};
    order.host = hostIndex;
    this->orders.push_back(order);
    this->runOnHost(host, [this, host, orderIndex] {
        host->ledger->claim(this->orders.at(orderIndex).claim,
                            [this, host, orderIndex](const ClaimOutcome &outcome, TimePoint now) {
                                this->onClaim(host, orderIndex, outcome, now);
                            });
    });
    this->time.after(deadline, [this, host, orderIndex] {
        this->runOnHost(host, [this, host, orderIndex] {
            const bool dispatched = this->orders.at(orderIndex).dispatched;
            this->reportVerdict(host, orderIndex,
                                dispatched ? Verdict::MayHaveRun : Verdict::NotRun);
        });
    });
    return orderIndex;
}

void OrderSimulation::suspend(std::size_t host)
{
    this->hosts.at(host)->isSuspended = true;
    this->hosts.at(host)->store->freeze();
}

void OrderSimulation::resume(std::size_t hostIndex)
{
    const HostPointer host = this->hosts.at(hostIndex);
    const std::vector<std::function<void()>> events = std::move(host->deferredEvents);
    host->deferredEvents.clear();
    host->isSuspended = false;
    // A resumed event loop may process expired timers and received responses in either order.
    const bool storeFirst = this->random.nextBelow(2) == 0;
    if (storeFirst)
        host->store->thaw();
    this->time.after(Duration::zero(), [events] {
        for (const std::function<void()> &event : events)
            event();
    });
    if (!storeFirst)
        host->store->thaw();
}

void OrderSimulation::kill(std::size_t hostIndex)
{
    const HostPointer host = this->hosts.at(hostIndex);
    host->isUp = false;
    host->deferredEvents.clear();
    host->ledger.reset();
    host->store.reset();
}

void OrderSimulation::restart(std::size_t hostIndex)
{
    const HostPointer host = std::make_shared<Host>(*this);
    host->identity = {"host-" + std::to_string(hostIndex), this->nextIncarnation++, "centro-a"};
    host->store = std::make_unique<fakes::FakeObjectStore>(this->time, this->objects, this->random);
    host->ledger = this->factory(host->identity, *host->store, *this, *host, this->random);
    this->hosts.at(hostIndex) = host;
    this->tick(host);
}

bool OrderSimulation::isUp(std::size_t host) const
{
    return this->hosts.at(host)->isUp;
}

bool OrderSimulation::isSuspended(std::size_t host) const
{
    return this->hosts.at(host)->isSuspended;
}

fakes::FakeObjectStore &OrderSimulation::store(std::size_t host)
{
    return *this->hosts.at(host)->store;
}

const OrderLedger &OrderSimulation::ledger(std::size_t host) const
{
    return *this->hosts.at(host)->ledger;
}

int OrderSimulation::executionCount(const std::string &key) const
{
    const auto found = this->executionCounts.find(key);
    return found == this->executionCounts.end() ? 0 : found->second;
}

std::uint64_t OrderSimulation::storeReads() const
{
    std::uint64_t sum = 0;
    for (const HostPointer &host : this->hosts)
        sum += host->store->reads();
    return sum;
}

std::uint64_t OrderSimulation::storeWrites() const
{
    std::uint64_t sum = 0;
    for (const HostPointer &host : this->hosts)
        sum += host->store->writes();
    return sum;
}

bool OrderSimulation::isBelievedAlive(const HostId &id, Incarnation incarnation) const
{
    for (const HostPointer &host : this->hosts) {
        if (host->identity.host == id && host->identity.incarnation == incarnation)
            return host->isUp && !host->isSuspended;
    }
    return false;
}

void OrderSimulation::runOnHost(const HostPointer &host, const std::function<void()> &event)
{
    if (!host->isUp)
        return;
    if (host->isSuspended)
        host->deferredEvents.push_back([this, host, event] { this->runOnHost(host, event); });
    else
        event();
}

void OrderSimulation::tick(const HostPointer &host)
{
    if (!host->isUp)
        return;
    const std::optional<TimePoint> next = host->ledger->nextTimer();
    if (!host->isSuspended && next && *next <= this->time.now())
        host->ledger->onTimer(this->time.now());
    this->time.after(TickInterval, [this, host] { this->tick(host); });
}

void OrderSimulation::onClaim(const HostPointer &host, std::size_t orderIndex,
                              const ClaimOutcome &outcome, TimePoint now)
{
    SimulatedOrder &order = this->orders.at(orderIndex);
    if (order.verdict)
        return;
    if (outcome.result == ClaimResult::Claimed && now < order.claim.deadline) {
        this->dispatch(host, orderIndex);
        return;
    }
    order.refusal = outcome.result;
    const bool mayHaveRun = outcome.result == ClaimResult::InProgress
                            || outcome.result == ClaimResult::OutcomeUnknown;
    if (outcome.result == ClaimResult::AlreadyFinished)
        this->reportVerdict(host, orderIndex, Verdict::Ran);
    else
        this->reportVerdict(host, orderIndex, mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun);
}

void OrderSimulation::dispatch(const HostPointer &host, std::size_t orderIndex)
{
    this->orders.at(orderIndex).dispatched = true;
    const ServiceBehaviour behaviour = this->chooseBehaviour();
    this->orders.at(orderIndex).behaviour = behaviour;
    this->time.after(ServiceTime / 2, [this, orderIndex, behaviour] {
        if (behaviour == ServiceBehaviour::RefusesWithoutRunning)
            return;
        this->orders.at(orderIndex).ran = true;
        ++this->executionCounts[this->orders.at(orderIndex).claim.idempotencyKey];
    });
    this->time.after(ServiceTime, [this, host, orderIndex, behaviour] {
        this->runOnHost(host, [this, host, orderIndex, behaviour] {
            const SimulatedOrder &order = this->orders.at(orderIndex);
            if (order.verdict)
                return;
            if (behaviour == ServiceBehaviour::Answers) {
                host->ledger->recordAnswer(order.claim, {200, "text/plain", "done"});
                this->reportVerdict(host, orderIndex, Verdict::Ran);
                return;
            }
            if (behaviour == ServiceBehaviour::RefusesWithoutRunning)
                host->ledger->recordNotRun(order.claim);
            this->reportVerdict(host, orderIndex,
                                behaviour == ServiceBehaviour::RefusesWithoutRunning
                                        ? Verdict::NotRun
                                        : Verdict::MayHaveRun);
        });
    });
}

void OrderSimulation::reportVerdict(const HostPointer &host, std::size_t orderIndex,
                                    Verdict verdict)
{
    SimulatedOrder &order = this->orders.at(orderIndex);
    if (order.verdict)
        return;
    order.verdict = verdict;
    order.answeredAt = this->time.now();
    if (verdict != Verdict::Ran)
        host->ledger->onRequestRefused(order.claim.request, verdict);
}

std::unique_ptr<OrderLedger> makeOrderObjectLedger(const HostIdentity &identity, ObjectStore &store,
                                                   const HostLiveness &liveness,
                                                   OrderOutcomeReplicator &replicator,
                                                   RandomSource &random)
{
    static NullEventLog log;
    return std::make_unique<OrderObjectLedger>(identity, store, liveness, replicator, random, log);
}

} // namespace dotterel::support
