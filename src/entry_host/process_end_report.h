#pragma once

#include "core/identity.h"

#include <string_view>

namespace dotterel {

/// What ended a process.
enum class ProcessEndReason {
    Shutdown,        ///< Requested by an operator: SIGTERM, SIGINT or a drain.
    InvalidSettings, ///< The start was refused because of the settings.
    Exception,       ///< An exception left the start or the event loop.
    Terminate,       ///< std::terminate(), as for an exception that nothing can catch.
    Signal,          ///< A signal that the process does not handle.
    Exit,            ///< A library called exit().
};

/// Returns the name of \a reason in logs.
std::string_view processEndReasonName(ProcessEndReason reason);

/// Makes a process that serves \a host log `host_stopped` as its last line, whatever ends it other
/// than SIGKILL and a loss of power. After a fatal signal standard error gets a backtrace, and the
/// signal takes its usual effect. Handlers of others, such as those of a sanitizer, stay.
void installProcessEndReport(const HostId &host);

/// Logs that the process ends with \a exitCode for \a reason; \a error is the message of an
/// exception. The line has the peak memory in kilobytes and the number of open files. Does nothing
/// if the end has been reported already.
void reportProcessEnd(ProcessEndReason reason, int exitCode, std::string_view error = {});

} // namespace dotterel
