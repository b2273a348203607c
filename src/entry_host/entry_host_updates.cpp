// The part of EntryHost that handles updates from peers, the host list, the configuration and load
// reports.

#include "core/hashing.h"
#include "entry_host/entry_host.h"

namespace dotterel {

namespace {

constexpr Duration DispatchUpdateInterval = std::chrono::milliseconds(10);

} // namespace

void EntryHost::onPeerLinkOpened(std::uint64_t link)
{
    this->membershipDriver.onPeerLinkOpened(link);
    for (const CrashNotice &notice : this->crashGuard.notices(this->loop.now()))
        this->peerMesh.send(link, notice);
}

void EntryHost::onPeerMessage(std::uint64_t link, const PeerMessage &message)
{
    this->membershipDriver.onPeerMessage(link, message);
    this->configurationFeed.onPeerMessage(link, message);
    if (const CrashNotice *notice = std::get_if<CrashNotice>(&message)) {
        // New notices are forwarded to peers that the sender is not linked to; known ones are not.
        if (this->controller.onCrashNotice(*notice, this->loop.now()))
            this->peerMesh.broadcast(*notice);
    } else if (const DispatchUpdate *update = std::get_if<DispatchUpdate>(&message)) {
        this->placement.onDispatchNews(*update, this->loop.now());
    } else if (const LoadUpdate *loadUpdate = std::get_if<LoadUpdate>(&message)) {
        this->onLoadUpdate(*loadUpdate);
    } else if (const OrderOutcomeOffer *outcome = std::get_if<OrderOutcomeOffer>(&message)) {
        const std::optional<OrderRecord> record = decodeOrderRecord(outcome->record);
        if (!record || record->state == OrderState::Claimed)
            return;
        this->orderLedger.adoptOutcome({outcome->name, outcome->version, *record},
                                       this->loop.now());
        this->startLedgerTimer();
    }
}

void EntryHost::onHostList(const std::vector<HostListEntry> &hosts)
{
    std::set<ServerId> leaving;
    for (const HostListEntry &host : hosts) {
        if (host.role == "backend" && host.leaving)
            leaving.insert(host.id);
    }
    this->serverDirectory.applyHostList(leaving, this->loop.now());
}

void EntryHost::onServerNotice(const ServerDrainNotice &notice)
{
    this->serverDirectory.applyServerNotice(notice, this->loop.now());
}

void EntryHost::beforeHeartbeat()
{
    for (const ServerDrainNotice &notice : this->serverDirectory.takePendingNotices())
        this->membership.publishNotice(notice);
    this->drainingServerProber.probeIfDue(this->serverDirectory.selfReportedDraining(),
                                          this->membership.liveMembers());
    this->configurationFeed.setWatchTurn(turnAmong(this->identity, this->membership.liveMembers()));
}

void EntryHost::applyConfiguration(const Configuration &configuration)
{
    this->membershipDriver.announceConfiguration(configuration.version);
    this->serverDirectory.applyConfiguration(configuration);
    this->controller.applyConfiguration(configuration);
    this->placement.applyConfiguration(configuration);
    this->log.write(Event::HostReady,
                    {{"version", static_cast<std::int64_t>(configuration.version)}});
}

void EntryHost::pollLoads()
{
    std::vector<HostId> live{this->identity.host};
    for (const MemberRecord &member : this->membership.liveMembers())
        live.push_back(member.identity.host);
    this->loadPoller.poll(this->configurationFeed.current(), live);
}

void EntryHost::onLoadReport(const ServerId &server, const LoadReport &report)
{
    this->placement.onLoadReport(server, report, this->loop.now());
    if (report.draining)
        this->serverDirectory.markDraining(server);
    this->peerMesh.broadcast(
            LoadUpdate{{{hash32(server), report.queuedPromptTokens, report.queuedByBand}}});
}

void EntryHost::onLoadUpdate(const LoadUpdate &update)
{
    for (const ServerLoad &load : update.loads) {
        for (const auto &[id, server] : this->configurationFeed.current().servers) {
            if (hash32(id) != load.serverHash)
                continue;
            LoadReport report;
            report.queuedPromptTokens = load.queuedTokens;
            report.queuedByBand = load.queuedByBand;
            this->placement.onLoadReport(id, report, this->loop.now());
        }
    }
}

void EntryHost::scheduleDispatchUpdate()
{
    if (this->dispatchUpdateScheduled || !this->placement.hasDispatchNews())
        return;
    this->dispatchUpdateScheduled = true;
    this->dispatchUpdateTimer = this->loop.after(DispatchUpdateInterval, [this] {
        this->dispatchUpdateScheduled = false;
        this->peerMesh.broadcast(this->placement.takeDispatchNews());
    });
}

} // namespace dotterel
