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

/// Maximum size of a settings file.
inline constexpr std::size_t MaxSettingsBytes = 64UL * 1024;

/// Settings of one entry host, read from YAML once at startup. Documented in docs/SETTINGS.md.
struct Settings
{
    HostId host;
    std::string failureDomain;
    Endpoint callers;   ///< Listening address for callers.
    Endpoint operators; ///< Listening address for status, metrics and health.
    Endpoint peers;     ///< Listening address for other entry hosts.
    Endpoint platform;  ///< Address of the platform's object API.
    std::uint64_t maxBodyBytes = 16UL * 1024 * 1024;
    std::uint64_t maxRequestsInFlight = 4'096;
    Duration platformTimeout = std::chrono::seconds(2);
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    Duration shutdownGrace = std::chrono::seconds(2);
    Severity logThreshold = Severity::Info;

    // Used only by the gateway.
    Endpoint readiness; ///< Listening address for a load balancer's readiness probe.
    /// Listening address for requests that other entry hosts hand over, as far as it is set; see
    /// relayEndpoint().
    Endpoint relay{"", 0};
    std::uint64_t maxOpenFiles = 4'096; ///< Limit on open file descriptors.
    std::uint64_t memoryMb = 256;       ///< Limit on the memory of the process, in megabytes.
    /// Limit on the bytes of one response that are held back before they are passed on.
    std::uint64_t maxHeldResponseBytes = 256UL * 1024;
    std::uint64_t sharedHosts = 9; ///< Assumed number of entry hosts until members are known.
    double retryRatio = 0.2;       ///< Retries per request of a pool, over all entry hosts.
    double retrySlack = 100;       ///< Retries per window in addition to the ratio.
    double retryWindowSeconds = 10;
    /// Time within which a failure domain that operators put out of service gets no more requests;
    /// 0 if the hosts do not follow which domains are out of service.
    Duration domainServiceLimit = Duration::zero();
    /// Prompts that may wait for their first event at an engine that has just started or recovered;
    /// 0 if there is no such window.
    std::uint64_t serverPaceWindow = 0;
    double shutdownLimitSeconds = 8; ///< From the signal to a forced exit.
};

/// Returns where a gateway listens for requests that other entry hosts hand over: `relay`, or the
/// port after that of `peers`. Port 0 selects a free port.
Endpoint relayEndpoint(const Settings &settings);

/// The member that a setting is read into. Its type determines the syntax of the value.
using SettingMember =
        std::variant<std::string Settings::*, Endpoint Settings::*, std::uint64_t Settings::*,
                     double Settings::*, Duration Settings::*, Severity Settings::*>;

/// Describes one settings key. Adding a setting takes a member of Settings and a row of the table.
struct SettingInfo
{
    std::string_view key;
    SettingMember member;
    bool required;
    std::uint64_t minimum; ///< For numbers, milliseconds and the port of an endpoint.
    std::uint64_t maximum;
    std::string_view meaning;
};

/// Returns all settings in the order of the documentation.
const std::vector<SettingInfo> &settingTable();

/// Returns a description of the allowed values of \a setting.
std::string allowedValuesText(const SettingInfo &setting);

/// Returns the value of \a setting in \a settings as written in a settings file.
std::string settingValueText(const SettingInfo &setting, const Settings &settings);

/// Parses settings from \a text. On failure returns all errors; \a file is the source name in them.
tl::expected<Settings, std::vector<YamlError>> settingsFromYaml(const std::string &text,
                                                                const std::string &file);

} // namespace dotterel
