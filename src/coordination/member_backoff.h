#pragma once

#include "core/identity.h"
#include "core/random_source.h"
#include "core/time.h"

#include <map>

namespace dotterel {

/// Decides when a peer may be connected again after failures: the wait doubles up to a limit, and
/// a random part of it keeps hosts that lost the same peer apart. Pure.
class MemberBackoff
{
public:
    explicit MemberBackoff(RandomSource &random);

    /// Returns true if \a host may be connected at \a now.
    bool mayConnect(const HostId &host, TimePoint now) const;

    /// A link to \a host could not be opened, or broke.
    void onFailed(const HostId &host, TimePoint now);

    /// A link to \a host delivered a message.
    void onWorked(const HostId &host) { this->waits.erase(host); }

    /// Forgets hosts that have not failed for long.
    void forgetOld(TimePoint now);

private:
    struct Wait
    {
        Duration length = Duration::zero();
        TimePoint until;
    };

    RandomSource &random;
    std::map<HostId, Wait> waits;
};

} // namespace dotterel
