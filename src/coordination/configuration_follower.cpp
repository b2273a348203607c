#include "coordination/configuration_follower.h"

#include "state/configuration_codec.h"

namespace dotterel {

ConfigurationFollower::ConfigurationFollower(Listener listener, Metrics &metrics, EventLog &log)
    : listener(std::move(listener))
    , metrics(metrics)
    , log(log)
{}

bool ConfigurationFollower::offer(const std::string &offeredText)
{
    const tl::expected<Configuration, std::string> offered = configurationFromJson(offeredText);
    if (!offered) {
        this->log.write(Event::ConfigurationRejected, {{"error", offered.error()}});
        return false;
    }
    if (offered->version <= this->configuration.version)
        return false;
    this->configuration = *offered;
    this->text = offeredText;
    this->metrics.set(Gauge::ConfigurationVersion, static_cast<double>(offered->version));
    this->log.write(Event::ConfigurationApplied,
                    {{"version", static_cast<std::int64_t>(offered->version)}});
    this->listener(this->configuration);
    return true;
}

} // namespace dotterel
