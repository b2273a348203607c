#pragma once

#include "deployment.h"

#include <memory>

namespace review {

inline const std::string EnginePool = "huvo11a";
inline constexpr int EngineSlots = 16;
inline constexpr int EventsPerStream = 3;
inline constexpr int CallerTimeoutMs = 10'000;

/// Returns a configuration with one route of streams, to the engines of EnginePool.
nlohmann::json streamConfiguration(bool isResumable, std::size_t maxAttempts);

/// Returns the entry of an engine at \a address.
nlohmann::json engineEntry(const std::string &address, const std::string &zone);

/// Returns the body of an engine's answer to a request for its state.
std::string engineReport();

/// Prefills for  intervalMs and sends the events of a stream after  lastEvent, one each
///  intervalMs. Calls  onFirstToken when the run begins, unless the caller has left before.
/// Returns false if the connection has been closed.
bool sendStream(Connection &connection, const std::string &requestId, const std::string &lastEvent,
                int intervalMs, const std::function<void()> &onFirstToken);

/// Asks for a stream on a new connection; the answer's status is 0 if there was none.
Message askForStream(std::uint16_t port, const std::string &requestId);

/// Starts \a count gateways and waits until they are ready and know each other; empty on failure.
std::vector<std::unique_ptr<Gateway>> startGateways(int count, const std::string &storeAddress,
                                                    const std::string &directory);

/// Runs \a call with the numbers of \a callers callers and of their requests, each caller in a
/// thread, with a pause after each call, for \a loadMs.
void runCallers(int callers, int pauseMs, std::int64_t loadMs,
                const std::function<void(int caller, const std::string &requestId)> &call);

/// What run.sh passes on.
struct CaseOptions
{
    std::string directory; ///< For settings and logs; run.sh removes it.
    bool trouble = true;   ///< False if the case is played without its disruption.
    std::string variant;   ///< Of a program that serves two cases.
};

/// Plays a case with the arguments RECORD DIRECTORY TROUBLE [VARIANT] and ends the process.
[[noreturn]] void playCase(int argc, const char **argv,
                           int (*play)(Record &record, const CaseOptions &options));

} // namespace review
