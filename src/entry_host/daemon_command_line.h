#pragma once

#include "core/identity.h"
#include "state/settings.h"

#include <functional>
#include <string>

namespace dotterel {

inline constexpr int ExitOk = 0;
inline constexpr int ExitInvalidUsage = 2;
inline constexpr int ExitInvalidSettings = 3;
inline constexpr int ExitRuntimeError = 4;

/// Options that all daemons have in common.
struct DaemonOptions
{
    std::string settingsPath;
    bool checkOnly = false;
};

/// Reads and validates the settings file at \a path.
tl::expected<Settings, std::vector<YamlError>> loadSettings(const std::string &path);

/// Returns a new incarnation number for a host: wall-clock time in the high bits, so that a later
/// start of the same host gets a higher number, and random low bits, so that two simultaneous
/// starts differ.
Incarnation generateIncarnation(const Clock &clock);

/// Parses the command line of the daemon \a name, loads the settings and calls \a run, unless they
/// are invalid or are only to be checked. \a additionalHelp is added to the help text. Returns the
/// exit code.
int runDaemon(const char *name, int argc, const char **argv,
              const std::function<int(const DaemonOptions &, const Settings &)> &run,
              const std::string &additionalHelp = "");

} // namespace dotterel
