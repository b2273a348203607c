#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A server that died while a request was running on it.
struct CrashRecord
{
    ServerId server;
    Duration age = Duration::zero(); ///< How long ago, by the clock of the sender.
};

/// What one entry host tells others about a request that may crash backend servers.
struct CrashNotice
{
    std::string fingerprint; ///< See CrashGuard::fingerprint().
    std::vector<CrashRecord> crashes;
    std::optional<Duration> cleared; ///< How long ago the request ran to its end.
    ServerId runsOn;                 ///< Where it runs now; empty if nowhere.
};

} // namespace dotterel
