#include "gateway/silence_replies.h"

#include <algorithm>

namespace dotterel {

SilenceReplies::SilenceReplies(const SilenceReplySettings &settings, RandomSource &random)
    : settings(settings)
    , random(random)
{}

void SilenceReplies::onReport(const ServerId &server, std::optional<TimePoint> lastSign,
                              TimePoint now)
{
    if (!lastSign || now - *lastSign > this->settings.recentSign)
        return;
    const auto earlier = this->replied.find(server);
    if (earlier != this->replied.end() && now - earlier->second < this->settings.repeatInterval)
        return;
    const Duration delay =
            fromSeconds(toSeconds(this->settings.maxDelay) * this->random.nextDouble());
    this->due.emplace(server, now + delay);
}

void SilenceReplies::onReply(const ServerId &server, TimePoint now)
{
    this->due.erase(server);
    this->replied[server] = now;
}

std::vector<ServerId> SilenceReplies::takeDue(TimePoint now)
{
    std::vector<ServerId> servers;
    for (auto reply = this->due.begin(); reply != this->due.end();) {
        if (reply->second > now) {
            ++reply;
            continue;
        }
        servers.push_back(reply->first);
        this->replied[reply->first] = now;
        reply = this->due.erase(reply);
    }
    for (auto reply = this->replied.begin(); reply != this->replied.end();) {
        const bool isOld = now - reply->second > this->settings.repeatInterval;
        reply = isOld ? this->replied.erase(reply) : std::next(reply);
    }
    return servers;
}

std::optional<TimePoint> SilenceReplies::nextDue() const
{
    std::optional<TimePoint> next;
    for (const auto &[server, time] : this->due)
        next = std::min(next.value_or(time), time);
    return next;
}

} // namespace dotterel
