#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <map>

namespace dotterel {

/// Decides when a server that is said to have crashed is probed: before a request is refused
/// because servers crashed under it, since nobody else may ask a server that is accused wrongly.
/// Answers a cut that many hosts took for crashes. Performs no I/O.
class SuspectProbes
{
public:
    /// Returns true if \a server is to be probed now. Each probe without a sign of life doubles the
    /// time to the next one.
    bool tryProbe(const ServerId &server, TimePoint now);

    /// \a server has answered a probe.
    void onAlive(const ServerId &server);

private:
    struct Record
    {
        TimePoint probedAt;
        Duration interval = Duration::zero(); ///< To the next probe.
    };

    std::map<ServerId, Record> records;
};

} // namespace dotterel
