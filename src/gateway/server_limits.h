#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace dotterel {

/// Limits of requests per second that servers name in their answers, for one incarnation each.
/// Performs no I/O.
class ServerLimits
{
public:
    explicit ServerLimits(EventLog &log);

    /// Handles the limit in an answer of \a server, in requests per second from all hosts together;
    /// nullopt if the answer names none, which lifts it. Returns true if that is news.
    bool onAnswer(const ServerId &server, std::uint64_t incarnation, std::optional<double> limit,
                  TimePoint now);

    /// Forgets what \a server said, since it restarted or is gone.
    void forget(const ServerId &server) { this->records.erase(server); }

    /// Returns the number of servers that name a limit.
    std::size_t limitedServers() const;

private:
    struct Record
    {
        std::uint64_t incarnation = 0;
        std::optional<double> limit;
        TimePoint changedAt;
    };

    EventLog &log;
    std::map<ServerId, Record> records;
};

} // namespace dotterel
