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

/// Sends the events of a stream after \a lastEvent. Returns false if the connection has been
/// closed.
bool sendStream(Connection &connection, const std::string &requestId, const std::string &lastEvent,
                int eventIntervalMs);

/// Asks for a stream on a new connection; the answer's status is 0 if there was none.
Message askForStream(std::uint16_t port, const std::string &requestId);

/// Starts \a count gateways and waits until they are ready and know each other; empty on failure.
std::vector<std::unique_ptr<Gateway>> startGateways(int count, const std::string &storeAddress,
                                                    const std::string &directory);

/// Runs \a call with the numbers of \a callers callers and of their requests, each caller in a
/// thread, with a pause after each call, for \a loadMs.
void runCallers(int callers, int pauseMs, std::int64_t loadMs,
                const std::function<void(int caller, const std::string &requestId)> &call);

/// Returns false if the environment asks for the case without its disruption.
bool isTroubleWanted();

/// Plays a case with a temporary directory, removes the directory and ends the process.
[[noreturn]] void
playCase(int argc, const char **argv,
         const std::function<int(Record &record, const std::string &directory)> &play);

} // namespace review
