#pragma once

#include "core/event_log.h"
#include "core/identity.h"

#include <memory>

namespace dotterel {

/// Writes each event as one line of JSON to standard error, through Boost.Log.
class StructuredLog : public EventLog
{
public:
    /// Writes events of \a threshold and above, each with the name of \a host.
    StructuredLog(HostId host, Severity threshold);
    ~StructuredLog() override;

    void write(Event event, const std::vector<LogField> &fields) override;

private:
    struct Sink;
    HostId host;
    Severity threshold;
    std::unique_ptr<Sink> sink;
};

} // namespace dotterel
