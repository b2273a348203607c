#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/time.h"
#include "state/yaml_reader.h"
#include "transport/endpoint.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace dotterel {

/// Longest settings file that is read.
inline constexpr std::size_t MostSettingsBytes = 64UL * 1024;

/// Settings of one entry host, read from YAML once at its start. docs/SETTINGS.md is the page.
struct Settings
{
    HostId host;
    std::string failureDomain;
    Endpoint callers;   ///< Where callers are served.
    Endpoint operators; ///< Status, metrics and health.
    Endpoint peers;     ///< Links from other entry hosts.
    Endpoint platform;  ///< The object API.
    std::uint64_t maxBodyBytes = 16UL * 1024 * 1024;
    std::uint64_t maxRequestsInFlight = 4'096;
    Duration platformTimeout = std::chrono::seconds(2);
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    Duration shutdownGrace = std::chrono::seconds(2);
    Severity logThreshold = Severity::Info;

    // Of the gateway; the daemon without one does not use them.
    Endpoint readiness;                 ///< Where a balancer asks whether to send callers here.
    std::uint64_t maxOpenFiles = 4'096; ///< Descriptors that the process may have.
    std::uint64_t memoryMb = 256;       ///< Memory that the process may use.
    std::uint64_t sharedHosts = 9;      ///< Entry hosts expected before any other is heard of.
    double retryRatio = 0.2;            ///< Of the requests for a pool, for all hosts together.
    double retrySlack = 100;            ///< Further attempts in a window besides the ratio.
    double retryWindowSeconds = 10;
    double shutdownLimitSeconds = 8; ///< From the signal to the forced end.
};

/// The member that a setting is read into; its type says how the setting is written.
using SettingMember =
        std::variant<std::string Settings::*, Endpoint Settings::*, std::uint64_t Settings::*,
                     double Settings::*, Duration Settings::*, Severity Settings::*>;

/// One key of the settings. A new setting needs a member and a row; nothing else.
struct SettingInfo
{
    std::string_view key;
    SettingMember member;
    bool required;
    std::uint64_t least; ///< Numbers, milliseconds and, for an endpoint, its port.
    std::uint64_t most;
    std::string_view meaning;
};

/// Returns all rows of the table of settings, in the order in which they are documented.
const std::vector<SettingInfo> &settingTable();

/// Returns what is allowed for \a setting, in words.
std::string settingAllowed(const SettingInfo &setting);

/// Returns the value of \a setting in \a settings as a file would give it.
std::string settingText(const SettingInfo &setting, const Settings &settings);

/// Reads settings from \a text; \a file names the source in faults. Returns every fault at once.
tl::expected<Settings, std::vector<YamlFault>> settingsFromYaml(const std::string &text,
                                                                const std::string &file);

} // namespace dotterel
