#pragma once

#include "core/event_log.h"
#include "core/metrics.h"
#include "state/configuration.h"

#include <functional>
#include <string>

namespace dotterel {

/// Key of the object that holds the configuration.
inline constexpr const char *ConfigurationKey = "config/root";

/// Decides which configuration is in force on a host: always the highest version that it has seen,
/// whatever the order and the way in which versions arrive.
class ConfigurationFollower
{
public:
    using Listener = std::function<void(const Configuration &)>;

    /// \a listener hears each configuration that comes into force.
    ConfigurationFollower(Listener listener, Metrics &metrics, EventLog &log);

    /// Offers a configuration, as stored text, from the object API or from a peer. Returns true if
    /// it came into force.
    bool offer(const std::string &text);

    /// Returns the configuration in force; its version is 0 if there is none.
    const Configuration &current() const { return this->configuration; }

    /// Returns the text of the configuration in force, for peers that have an older one.
    const std::string &currentText() const { return this->text; }

private:
    Listener listener;
    Metrics &metrics;
    EventLog &log;
    Configuration configuration;
    std::string text;
};

} // namespace dotterel
