#pragma once

#include "core/event_log.h"
#include "core/identity.h"
#include "core/time.h"
#include "state/yaml_reader.h"
#include "transport/endpoint.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

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
};

/// Reads settings from \a text; \a file names the source in faults. Returns every fault at once.
tl::expected<Settings, std::vector<YamlFault>> settingsFromYaml(const std::string &text,
                                                                const std::string &file);

} // namespace dotterel
