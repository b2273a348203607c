// The part of GatewayHost that tells other hosts what crashes backend servers, and keeps it in the
// platform's store.

#include "coordination/member_topology.h"
#include "core/json_input.h"
#include "entry_host/gateway_host.h"
#include "gateway/crash_suspect_entries.h"

namespace dotterel {

namespace {

/// How often one peer is told again.
constexpr Duration CrashNoticeInterval = std::chrono::seconds(5);
/// A server that crashes leads to a notice for each request that it ran.
constexpr Duration SuspectWriteDelay = std::chrono::milliseconds(20);
/// Time for the list of suspects, without which a host that starts would run them again.
constexpr Duration SuspectPatience = std::chrono::seconds(1);
/// Hosts that start at the same time know each other within this time.
constexpr Duration PeerDiscoveryTime = std::chrono::seconds(5);

} // namespace

void GatewayHost::publishCrashNotice(const CrashNotice &notice)
{
    this->peerMesh.broadcast(notice);
    this->scheduleSuspectWrites();
}

void GatewayHost::sendCrashNotices(std::uint64_t link)
{
    const TimePoint now = this->loop.now();
    for (const CrashNotice &notice : this->crashGuard.notices(now))
        this->peerMesh.send(link, notice);
    for (const CrashNotice &notice : this->partGuard.notices(now))
        this->peerMesh.send(link, notice);
}

void GatewayHost::repeatCrashNotices()
{
    const TimePoint now = this->loop.now();
    const std::vector<std::uint64_t> links = this->peerMesh.openLinkIds();
    if (links.empty() || now - this->crashNoticesRepeatedAt < CrashNoticeInterval)
        return;
    this->crashNoticesRepeatedAt = now;
    const std::uint64_t link = links[this->crashNoticeTurn++ % links.size()];
    for (const CrashNotice &notice : this->crashGuard.recurringNotices(now))
        this->peerMesh.send(link, notice);
    for (const CrashNotice &notice : this->partGuard.recurringNotices(now))
        this->peerMesh.send(link, notice);
    const CrashGuard::Totals totals = this->crashGuard.totals(now);
    this->metrics.set(Gauge::CrashSuspectsKnown, static_cast<double>(totals.suspects));
    this->metrics.set(Gauge::CrashSuspectsRefused, static_cast<double>(totals.refused));
    const CrashGuard::Totals parts = this->partGuard.totals(now);
    this->metrics.set(Gauge::PromptPartsSuspected, static_cast<double>(parts.suspects));
    this->metrics.set(Gauge::PromptPartsRefused, static_cast<double>(parts.refused));
}

bool GatewayHost::isOwnTask(const std::string &task) const
{
    return isTaskAssigned(this->identity, this->membership.liveMembers(), task, 1);
}

bool GatewayHost::hasFoundPeers() const
{
    return this->loop.now() - this->startedAt >= PeerDiscoveryTime;
}

bool GatewayHost::knowsSuspects() const
{
    return this->suspectFeed.isKnown() || this->loop.now() - this->startedAt >= SuspectPatience;
}

void GatewayHost::applySuspectObjects(const std::vector<CollectionObject> &objects)
{
    const TimePoint now = this->loop.now();
    std::int64_t applied = 0;
    for (const CollectionObject &object : objects) {
        if (object.removed)
            continue;
        const auto suspect = decodeCrashSuspect(object.name, object.text, this->loop.wallTime());
        if (!suspect) {
            const std::string &reason = object.defect.empty() ? suspect.error() : object.defect;
            this->metrics.count(Counter::ObjectsRejected, 1);
            this->log.write(Event::ObjectRejected,
                            {{"collection", std::string(collectionName(Collection::CrashSuspects))},
                             {"object", shortened(object.name)},
                             {"revision", static_cast<std::int64_t>(object.revision)},
                             {"error", shortened(reason)}});
            continue;
        }
        this->suspectKeeper.onListed(*suspect, now);
        // Peers state ages, which do not depend on a time of day.
        const bool isKnown = suspect->subject == CrashSubject::Request
                                     ? this->crashGuard.isKnown(*suspect, now)
                                     : this->partGuard.isKnown(*suspect, now);
        if (!isKnown && this->controller.onCrashNotice(*suspect, now))
            ++applied;
    }
    this->log.write(Event::CrashSuspectsRead,
                    {{"entries", static_cast<std::int64_t>(objects.size())}, {"applied", applied}});
}

void GatewayHost::scheduleSuspectWrites()
{
    if (!this->suspectTimer)
        this->suspectTimer = this->loop.after(SuspectWriteDelay, [this] {
            this->suspectTimer.reset();
            this->writeSuspectEntries();
        });
}

void GatewayHost::writeSuspectEntries()
{
    if (this->suspectKeeper.empty() && this->crashGuard.empty() && this->partGuard.empty())
        return;
    const TimePoint now = this->loop.now();
    std::vector<CrashNotice> suspects = this->crashGuard.recurringNotices(now);
    for (CrashNotice &part : this->partGuard.recurringNotices(now))
        suspects.push_back(std::move(part));
    const auto isOwnTask = [this](const std::string &name) { return this->isOwnTask(name); };
    for (const CrashSuspectKeeper::Change &change :
         this->suspectKeeper.takeDue(suspects, isOwnTask, now)) {
        const auto onWritten = [this, change, alive = this->alive](const auto &result) {
            if (*alive)
                this->onSuspectWritten(change, result);
        };
        if (change.suspect)
            this->store.put(Collection::CrashSuspects, change.name,
                            encodeCrashSuspect(*change.suspect, this->loop.wallTime()), onWritten);
        else
            this->store.remove(Collection::CrashSuspects, change.name, onWritten);
    }
}

void GatewayHost::onSuspectWritten(const CrashSuspectKeeper::Change &change,
                                   const tl::expected<void, StoreError> &result)
{
    // Another host may have removed the entry.
    const bool isAbsent = !change.suspect && !result && result.error() == StoreError::NotFound;
    const bool succeeded = result.has_value() || isAbsent;
    this->suspectKeeper.onWritten(change.name, succeeded, this->loop.now());
    this->metrics.count(Counter::CrashSuspectWrites, succeeded ? 1 : 0);
    const std::size_t crashes = change.suspect ? change.suspect->crashes.size() : 0;
    this->log.write(
            Event::CrashSuspectStored,
            {{"entry", change.name},
             {"crashes", static_cast<std::int64_t>(crashes)},
             {"outcome", std::string(succeeded ? "done" : storeErrorName(result.error()))}});
}

} // namespace dotterel
