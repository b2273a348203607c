#pragma once

#include "core/identity.h"

#include <map>
#include <vector>

namespace dotterel {

/// Decides when a server that reported that it is draining is usable again. Several consecutive
/// reports without draining are required, since a single one may be older than the draining report.
/// Deterministic: performs no I/O and reads no clock.
class ServerReturnDetector
{
public:
    /// Resets the count of all servers that are not in \a draining.
    void retainOnly(const std::vector<ServerId> &draining);

    /// Records a report of \a server. Returns true if the server is usable again.
    bool onDrainReport(const ServerId &server, bool draining);

private:
    std::map<ServerId, int> consecutiveReadyReports;
};

} // namespace dotterel
