#pragma once

#include "core/identity.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A crash of a backend server while a given request was running on it.
struct CrashRecord
{
    ServerId server;
    Duration age = Duration::zero(); ///< Time since the crash, by the sender's clock.
};

/// Sent between entry hosts about a request that is suspected of crashing backend servers.
struct CrashNotice
{
    std::string fingerprint; ///< See CrashGuard::fingerprint().
    std::vector<CrashRecord> crashes;
    std::optional<Duration> sinceCompletion; ///< Time since the request completed, if it did.
    ServerId runningServer;                  ///< Server that runs it now; empty if none.
};

} // namespace dotterel
