#include "coordination/member_backoff.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration MinDelay = std::chrono::milliseconds(100);
constexpr Duration MaxDelay = std::chrono::seconds(5);
constexpr Duration RetentionTime = std::chrono::minutes(1);

} // namespace

MemberBackoff::MemberBackoff(RandomSource &random)
    : random(random)
{}

bool MemberBackoff::mayConnect(const HostId &host, TimePoint now) const
{
    const auto wait = this->waits.find(host);
    return wait == this->waits.end() || now >= wait->second.until;
}

void MemberBackoff::onFailed(const HostId &host, TimePoint now)
{
    Wait &wait = this->waits[host];
    wait.length = std::clamp(wait.length * 2, MinDelay, MaxDelay);
    // Waits between half of the delay and all of it.
    const double jitter = 0.5 + this->random.unit() / 2;
    wait.until = now + fromSeconds(toSeconds(wait.length) * jitter);
}

void MemberBackoff::forgetOld(TimePoint now)
{
    for (auto entry = this->waits.begin(); entry != this->waits.end();)
        entry = now - entry->second.until > RetentionTime ? this->waits.erase(entry)
                                                          : std::next(entry);
}

} // namespace dotterel
