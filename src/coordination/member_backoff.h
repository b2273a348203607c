#pragma once

#include "core/identity.h"
#include "core/random_source.h"
#include "core/time.h"

#include <map>

namespace dotterel {

/// Exponential backoff with jitter for connections to peers. The jitter keeps hosts that lost the
/// same peer from reconnecting at the same time. Performs no I/O and reads no clock.
class MemberBackoff
{
public:
    explicit MemberBackoff(RandomSource &random);

    /// Returns true if a connection to \a host may be attempted at \a now.
    bool mayConnect(const HostId &host, TimePoint now) const;

    /// Called when a link to \a host could not be opened or was lost.
    void onConnectionFailed(const HostId &host, TimePoint now);

    /// Called when a message was received over a link to \a host. Resets its backoff.
    void reset(const HostId &host) { this->states.erase(host); }

    /// Removes the state of hosts whose backoff ended more than a minute ago.
    void removeExpired(TimePoint now);

private:
    struct RetryState
    {
        Duration delay = Duration::zero();
        TimePoint retryAt;
    };

    RandomSource &random;
    std::map<HostId, RetryState> states;
};

} // namespace dotterel
