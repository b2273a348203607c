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
    const auto state = this->states.find(host);
    return state == this->states.end() || now >= state->second.retryAt;
}

void MemberBackoff::onConnectionFailed(const HostId &host, TimePoint now)
{
    RetryState &state = this->states[host];
    state.delay = std::clamp(state.delay * 2, MinDelay, MaxDelay);
    // Waits between half of the delay and all of it.
    const double jitter = 0.5 + this->random.nextDouble() / 2;
    state.retryAt = now + fromSeconds(toSeconds(state.delay) * jitter);
}

void MemberBackoff::removeExpired(TimePoint now)
{
    for (auto entry = this->states.begin(); entry != this->states.end();)
        entry = now - entry->second.retryAt > RetentionTime ? this->states.erase(entry)
                                                            : std::next(entry);
}

} // namespace dotterel
