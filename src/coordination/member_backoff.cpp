#include "coordination/member_backoff.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr Duration ShortestWait = std::chrono::milliseconds(100);
constexpr Duration LongestWait = std::chrono::seconds(5);
constexpr Duration ForgetAfter = std::chrono::minutes(1);

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
    wait.length = std::clamp(wait.length * 2, ShortestWait, LongestWait);
    // Between half of the wait and the whole of it.
    const double part = 0.5 + this->random.unit() / 2;
    wait.until = now + fromSeconds(toSeconds(wait.length) * part);
}

void MemberBackoff::forgetOld(TimePoint now)
{
    for (auto row = this->waits.begin(); row != this->waits.end();)
        row = now - row->second.until > ForgetAfter ? this->waits.erase(row) : std::next(row);
}

} // namespace dotterel
