#pragma once

#include "core/identity.h"
#include "state/settings.h"

#include <functional>
#include <string>

namespace dotterel {

inline constexpr int ExitOk = 0;
inline constexpr int ExitBadUsage = 2;
inline constexpr int ExitBadSettings = 3;
inline constexpr int ExitCannotRun = 4;

/// The command line of a daemon.
struct DaemonOptions
{
    std::string settingsPath;
    bool checkOnly = false;
};

/// Reads and checks the settings at \a path.
tl::expected<Settings, std::vector<YamlFault>> loadSettings(const std::string &path);

/// Draws the number of this life of a host. A later start of the same host draws a higher one; the
/// low bits part two starts at once.
Incarnation drawIncarnation(const Clock &clock);

/// Reads the command line of the daemon \a name and the settings, and calls \a run unless they are
/// wrong or only to be checked. \a moreHelp describes options that are not read here. Returns the
/// exit code.
int runDaemon(const char *name, int argc, const char **argv,
              const std::function<int(const DaemonOptions &, const Settings &)> &run,
              const std::string &moreHelp = "");

} // namespace dotterel
