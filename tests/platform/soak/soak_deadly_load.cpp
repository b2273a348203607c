// The part of SoakRun that sends requests which crash servers, and replaces the crashed ones.

#include "platform/soak/soak_run.h"

#include <algorithm>

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MeanDeadlyIntervalMs = 500;
/// A new server comes, and the entry of the crashed one expires, this long after a crash.
constexpr std::uint64_t MinReplacementMs = 50;
constexpr std::uint64_t ReplacementSpreadMs = 1'700;
/// Share of callers that leave, and the longest time until they do.
constexpr double LeavingShare = 0.4;
constexpr std::uint64_t MaxPatienceMs = 120;
constexpr Duration CrashedEntryExpiry = milliseconds(2'000);

} // namespace

std::string SoakRun::promptParts(std::uint64_t number, const DeadlyLoad *load)
{
    constexpr std::uint64_t SoundParts = 6;
    const bool isDeadly = load != nullptr && load->isPart;
    const std::string own = std::to_string(0x1000000 + number) + ":160";
    const std::string shared =
            isDeadly ? "dead" + load->name.substr(4) : "5afe" + std::to_string(number % SoundParts);
    return "5c1e07a2:40," + shared + ":300," + own;
}

void SoakRun::startDeadlyLoad()
{
    DeadlyLoad load;
    load.isPart = this->random.nextDouble() < this->options.deadlyPartShare;
    load.isStream = load.isPart || this->random.nextDouble() < 0.5;
    load.kind = static_cast<CrashKind>(this->random.nextBelow(CrashKindCount));
    if (load.kind == CrashKind::EndInOrder && (!load.isStream || load.isPart))
        load.kind = CrashKind::ResetBefore;
    load.name = "dead" + std::to_string(this->nextDeadlyNumber++);
    this->crashes.add(load);
    this->sendDeadlyRequests(load);
}

void SoakRun::sendDeadlyRequests(const DeadlyLoad &load)
{
    if (this->faultsEnded)
        return;
    const std::uint64_t number = this->sendRequest(
            this->random.nextBelow(this->hosts.size()),
            load.isStream ? RequestKind::DeadlyStream : RequestKind::DeadlyLookup, &load);
    if (this->oddRandom.nextDouble() < LeavingShare)
        this->runAfter(milliseconds(1 + this->oddRandom.nextBelow(MaxPatienceMs)),
                       [this, number] { this->leave(number); });
    this->runAfter(milliseconds(1 + this->random.nextBelow(2 * MeanDeadlyIntervalMs)),
                   [this, load] { this->sendDeadlyRequests(load); });
}

void SoakRun::onServerCrashed(SoakServer &server)
{
    const auto active = std::find(this->activeServers.begin(), this->activeServers.end(), &server);
    if (active != this->activeServers.end())
        this->activeServers.erase(active);
    const std::string pool = server.poolName();
    const std::string id = server.serverId();
    this->runAfter(milliseconds(MinReplacementMs + this->random.nextBelow(ReplacementSpreadMs)),
                   [this, pool] { this->addServer(pool); });
    this->registeredServers.erase(id);
    this->runAfter(CrashedEntryExpiry, [this, id] { this->store.remove("servers", id); });
}

} // namespace dotterel::soak
