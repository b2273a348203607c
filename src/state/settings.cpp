#include "state/settings.h"

#include <array>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace dotterel {

namespace {

constexpr std::uint64_t MaxPort = 65'535;
constexpr std::size_t MaxPortDigits = 5;
constexpr std::uint64_t MaxBodyBytesLimit = 256UL * 1024 * 1024;
constexpr std::uint64_t MaxRequestsInFlightLimit = 1'000'000;
constexpr std::uint64_t MaxDurationMs = 600'000;
constexpr std::uint64_t MaxDurationSeconds = 600;
constexpr std::uint64_t MaxNameBytes = 64;
constexpr std::uint64_t MinOpenFiles = 256;
constexpr std::uint64_t MaxOpenFiles = 1'000'000;
constexpr std::uint64_t MinMemoryMb = 32;
constexpr std::uint64_t MaxMemoryMb = 1'000'000;
constexpr std::uint64_t MaxSharedHosts = 10'000;
constexpr std::uint64_t MaxServerPaceWindow = 1'000;
constexpr std::uint64_t MaxRetrySlack = 1'000'000;
constexpr const char *NameCharacters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
constexpr std::array<Severity, 4> Severities = {Severity::Debug, Severity::Info, Severity::Warning,
                                                Severity::Error};

std::vector<std::string> severityNames()
{
    std::vector<std::string> names;
    names.reserve(Severities.size());
    for (const Severity severity : Severities)
        names.emplace_back(severityName(severity));
    return names;
}

std::uint64_t milliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string rangeText(const SettingInfo &setting)
{
    return std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum);
}

/// Describes the allowed values of a setting, by the type of its member.
struct AllowedValueFormatter
{
    const SettingInfo &setting;

    std::string operator()(std::string Settings::* /*member*/) const
    {
        return "letters, digits, `-`, `_` and `.`, at most " + std::to_string(setting.maximum);
    }
    std::string operator()(Endpoint Settings::* /*member*/) const
    {
        return "map of `address`, an IP address, and `port`, " + rangeText(setting);
    }
    std::string operator()(std::uint64_t Settings::* /*member*/) const
    {
        return rangeText(setting);
    }
    std::string operator()(double Settings::* /*member*/) const
    {
        return "number, " + rangeText(setting);
    }
    std::string operator()(Duration Settings::* /*member*/) const
    {
        return rangeText(setting) + " milliseconds";
    }
    std::string operator()(Severity Settings::* /*member*/) const
    {
        std::string text;
        for (const std::string &name : severityNames())
            text += (text.empty() ? "`" : ", `") + name + "`";
        return text;
    }
};

/// Formats the value of a setting, by the type of its member.
struct ValueFormatter
{
    const Settings &settings;

    std::string operator()(std::string Settings::*member) const { return settings.*member; }
    std::string operator()(Endpoint Settings::*member) const { return (settings.*member).text(); }
    std::string operator()(std::uint64_t Settings::*member) const
    {
        return std::to_string(settings.*member);
    }
    std::string operator()(double Settings::*member) const
    {
        std::ostringstream text;
        text << settings.*member;
        return text.str();
    }
    std::string operator()(Duration Settings::*member) const
    {
        return std::to_string(milliseconds(settings.*member));
    }
    std::string operator()(Severity Settings::*member) const
    {
        return std::string(severityName(settings.*member));
    }
};

/// Reads settings from a YAML map into the members of a Settings object.
class SettingReader
{
public:
    SettingReader(YamlMapReader &reader, std::vector<YamlError> &errors, std::string file,
                  Settings &settings)
        : reader(reader)
        , errors(errors)
        , file(std::move(file))
        , settings(settings)
    {}

    void read(const SettingInfo &setting)
    {
        std::visit([this, &setting](auto member) { this->readMember(setting, member); },
                   setting.member);
    }

private:
    void readMember(const SettingInfo &setting, std::string Settings::*member)
    {
        const std::string key(setting.key);
        std::string &name = this->settings.*member;
        this->reader.readString(key, name, setting.required);
        if (name.size() > setting.maximum || name.find_first_not_of(NameCharacters) != name.npos)
            this->reader.addError(key, "must be " + allowedValuesText(setting));
    }

    void readMember(const SettingInfo &setting, Endpoint Settings::*member)
    {
        const std::string key(setting.key);
        if (!this->reader.has(key) && !setting.required)
            return;
        if (!this->reader.has(key)) {
            this->reader.addError(key, "is missing; it must be a " + allowedValuesText(setting));
            this->reader.readMap(key);
            return;
        }
        Endpoint &endpoint = this->settings.*member;
        if (this->reader.isScalar(key)) {
            this->readEndpointText(setting, endpoint);
            return;
        }
        const YAML::Node node = this->reader.readMap(key);
        YamlMapReader endpointReader(node, this->file, key, this->errors);
        std::uint64_t port = 0;
        endpointReader.readString("address", endpoint.address, true);
        endpointReader.readInteger("port", port, setting.minimum, setting.maximum, true);
        endpointReader.rejectUnknownKeys();
        if (endpointReader.has("address") && !isIpAddress(endpoint.address))
            endpointReader.addError("address",
                                    "must be an IP address, not \"" + endpoint.address + "\"");
        endpoint.port = static_cast<std::uint16_t>(port);
    }

    void readEndpointText(const SettingInfo &setting, Endpoint &endpoint)
    {
        const std::string key(setting.key);
        std::string text;
        this->reader.readString(key, text, setting.required);
        const std::size_t colon = text.rfind(':');
        const std::string portText = colon == text.npos ? "" : text.substr(colon + 1);
        const bool isNumber = !portText.empty() && portText.size() <= MaxPortDigits
                              && portText.find_first_not_of("0123456789") == portText.npos;
        const std::uint64_t port = isNumber ? std::strtoull(portText.c_str(), nullptr, 10) : 0;
        endpoint.address = text.substr(0, colon);
        if (!isNumber || port < setting.minimum || port > setting.maximum
            || !isIpAddress(endpoint.address))
            this->reader.addError(key,
                                  "must be a map of keys and values, or an IP address and a port "
                                  "such as 10.0.0.1:80, not \""
                                          + text + "\"");
        endpoint.port = static_cast<std::uint16_t>(port);
    }

    void readMember(const SettingInfo &setting, std::uint64_t Settings::*member)
    {
        this->reader.readInteger(std::string(setting.key), this->settings.*member, setting.minimum,
                                 setting.maximum, setting.required);
    }

    void readMember(const SettingInfo &setting, double Settings::*member)
    {
        this->reader.readNumber(std::string(setting.key), this->settings.*member,
                                static_cast<double>(setting.minimum),
                                static_cast<double>(setting.maximum));
    }

    void readMember(const SettingInfo &setting, Duration Settings::*member)
    {
        std::uint64_t value = milliseconds(this->settings.*member);
        this->reader.readInteger(std::string(setting.key), value, setting.minimum, setting.maximum,
                                 setting.required);
        this->settings.*member = std::chrono::milliseconds(value);
    }

    void readMember(const SettingInfo &setting, Severity Settings::*member)
    {
        std::string name(severityName(this->settings.*member));
        this->reader.readChoice(std::string(setting.key), name, severityNames(), setting.required);
        for (const Severity severity : Severities) {
            if (severityName(severity) == name)
                this->settings.*member = severity;
        }
    }

    YamlMapReader &reader;
    std::vector<YamlError> &errors;
    std::string file;
    Settings &settings;
};

bool isWildcardAddress(const Endpoint &endpoint)
{
    return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

bool endpointsConflict(const Endpoint &left, const Endpoint &right)
{
    const bool sameAddress =
            left.address == right.address || isWildcardAddress(left) || isWildcardAddress(right);
    return left.port != 0 && left.port == right.port && sameAddress;
}

void rejectConflictingEndpoints(YamlMapReader &reader, const Settings &settings)
{
    std::vector<std::pair<std::string, Endpoint>> previousEndpoints;
    for (const SettingInfo &setting : settingTable()) {
        const auto *member = std::get_if<Endpoint Settings::*>(&setting.member);
        if (member == nullptr)
            continue;
        const Endpoint &endpoint = settings.**member;
        const std::string key(setting.key);
        for (const auto &[otherKey, other] : previousEndpoints) {
            if (endpointsConflict(endpoint, other))
                reader.addError(key, "must differ from " + otherKey + ", which is " + other.text()
                                             + " too");
        }
        previousEndpoints.emplace_back(key, endpoint);
    }
}

} // namespace

const std::vector<SettingInfo> &settingTable()
{
    static const std::vector<SettingInfo> table = {
            {"host", &Settings::host, true, 1, MaxNameBytes,
             "Name of this entry host, unique in the deployment."},
            {"failure-domain", &Settings::failureDomain, true, 1, MaxNameBytes,
             "Failure domain of this entry host."},
            {"callers", &Settings::callers, true, 0, MaxPort,
             "Listening address for callers; port 0 selects a free port."},
            {"operators", &Settings::operators, true, 0, MaxPort,
             "Listening address for status, metrics and health; port 0 selects a free port."},
            {"peers", &Settings::peers, true, 0, MaxPort,
             "Listening address for other entry hosts; port 0 selects a free port."},
            {"platform", &Settings::platform, true, 1, MaxPort,
             "Address of the platform's object API and host list."},
            {"max-body-bytes", &Settings::maxBodyBytes, false, 1'024, MaxBodyBytesLimit,
             "Maximum size of a caller's request body, in bytes."},
            {"max-requests-in-flight", &Settings::maxRequestsInFlight, false, 1,
             MaxRequestsInFlightLimit,
             "Maximum number of concurrent requests; further ones are refused."},
            {"platform-timeout-ms", &Settings::platformTimeout, false, 1, MaxDurationMs,
             "Timeout of a request to the platform."},
            {"heartbeat-interval-ms", &Settings::heartbeatInterval, false, 1, MaxDurationMs,
             "Interval of heartbeats to other entry hosts."},
            {"shutdown-grace-ms", &Settings::shutdownGrace, false, 1, MaxDurationMs,
             "Time between becoming not ready and closing the listeners in a graceful shutdown."},
            {"log-threshold", &Settings::logThreshold, false, 0, 0,
             "Events below this severity are not logged."},
            {"relay", &Settings::relay, false, 0, MaxPort,
             "Gateway: listening address for requests that other entry hosts hand over; by default "
             "the port after that of `peers`."},
            {"readiness", &Settings::readiness, false, 0, MaxPort,
             "Gateway: listening address for a load balancer's readiness probe."},
            {"max-open-files", &Settings::maxOpenFiles, false, MinOpenFiles, MaxOpenFiles,
             "Gateway: limit on open file descriptors."},
            {"memory-mb", &Settings::memoryMb, false, MinMemoryMb, MaxMemoryMb,
             "Gateway: limit on the memory of the process, in megabytes."},
            {"max-held-response-bytes", &Settings::maxHeldResponseBytes, false, 4'096,
             MaxBodyBytesLimit,
             "Gateway: limit on the bytes of one response that are held back before they are "
             "passed on, such as an event or an error response. All responses together may hold an "
             "eighth of `memory-mb`."},
            {"shared-hosts", &Settings::sharedHosts, false, 1, MaxSharedHosts,
             "Gateway: assumed number of entry hosts that share the retry budget, until members "
             "are known."},
            {"retry-ratio", &Settings::retryRatio, false, 0, 1,
             "Gateway: retries allowed per request, over all entry hosts."},
            {"retry-slack", &Settings::retrySlack, false, 0, MaxRetrySlack,
             "Gateway: retries allowed per window in addition to the ratio, over all entry hosts."},
            {"retry-window-seconds", &Settings::retryWindowSeconds, false, 1, MaxDurationSeconds,
             "Gateway: length of the window of `retry-slack`."},
            {"domain-service-limit-ms", &Settings::domainServiceLimit, false, 0, MaxDurationMs,
             "Gateway: time within which a failure domain that operators put out of service gets "
             "no more requests; 0 if hosts do not follow which domains are out of service."},
            {"server-pace-window", &Settings::serverPaceWindow, false, 0, MaxServerPaceWindow,
             "Gateway: prompts that may wait for their first event at an engine that has just "
             "started or recovered, until it has answered some; 0 if there is no such window."},
            {"shutdown-limit-seconds", &Settings::shutdownLimitSeconds, false, 1,
             MaxDurationSeconds, "Gateway: time from the termination signal to a forced exit."},
    };
    return table;
}

Endpoint relayEndpoint(const Settings &settings)
{
    if (!settings.relay.address.empty())
        return settings.relay;
    const std::uint16_t port = settings.peers.port == 0
                                       ? std::uint16_t{0}
                                       : static_cast<std::uint16_t>(settings.peers.port + 1);
    return {settings.peers.address, port};
}

std::string allowedValuesText(const SettingInfo &setting)
{
    return std::visit(AllowedValueFormatter{setting}, setting.member);
}

std::string settingValueText(const SettingInfo &setting, const Settings &settings)
{
    return std::visit(ValueFormatter{settings}, setting.member);
}

tl::expected<Settings, std::vector<YamlError>> settingsFromYaml(const std::string &text,
                                                                const std::string &file)
{
    Settings settings;
    std::vector<YamlError> errors;
    const YAML::Node root = parseYaml(text, file, MaxSettingsBytes, errors);
    if (errors.empty()) {
        YamlMapReader reader(root, file, "", errors);
        SettingReader settingReader(reader, errors, file, settings);
        for (const SettingInfo &setting : settingTable())
            settingReader.read(setting);
        reader.rejectUnknownKeys();
        rejectConflictingEndpoints(reader, settings);
    }
    if (!errors.empty())
        return tl::unexpected(errors);
    return settings;
}

} // namespace dotterel
