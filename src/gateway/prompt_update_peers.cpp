#include "gateway/prompt_update_peers.h"

namespace dotterel {

namespace {

/// Membership knows all reachable hosts within this time of a start.
constexpr Duration JoiningTime = std::chrono::seconds(3);
constexpr int MaxAnnouncements = 2;

} // namespace

PromptUpdatePeers::PromptUpdatePeers(Endpoint own, TimePoint startedAt)
    : own(std::move(own))
    , startedAt(startedAt)
{}

void PromptUpdatePeers::setLive(const std::vector<Endpoint> &endpoints)
{
    this->live = {endpoints.begin(), endpoints.end()};
}

void PromptUpdatePeers::setListed(const std::vector<Endpoint> &endpoints)
{
    this->listed = {endpoints.begin(), endpoints.end()};
}

void PromptUpdatePeers::onJoined(const Endpoint &endpoint, TimePoint now)
{
    for (auto joined = this->joinedAt.begin(); joined != this->joinedAt.end();)
        joined = now - joined->second > JoiningTime ? this->joinedAt.erase(joined)
                                                    : std::next(joined);
    this->joinedAt[endpoint] = now;
}

bool PromptUpdatePeers::takeAnnouncement(TimePoint now)
{
    if (!this->isJoining(now) || this->announcements >= MaxAnnouncements
        || this->endpoints(now).empty())
        return false;
    ++this->announcements;
    return true;
}

bool PromptUpdatePeers::isJoining(TimePoint now) const
{
    return now - this->startedAt < JoiningTime;
}

std::vector<Endpoint> PromptUpdatePeers::endpoints(TimePoint now) const
{
    std::set<Endpoint> all = this->live;
    if (this->isJoining(now))
        all.insert(this->listed.begin(), this->listed.end());
    for (const auto &[endpoint, time] : this->joinedAt) {
        if (now - time <= JoiningTime)
            all.insert(endpoint);
    }
    all.erase(this->own);
    return {all.begin(), all.end()};
}

} // namespace dotterel
