#include "state/settings.h"

#include <yaml-cpp/yaml.h>

namespace dotterel {

namespace {

constexpr std::uint64_t LargestPort = 65'535;
constexpr std::uint64_t LargestBodyBytes = 256UL * 1024 * 1024;
constexpr std::uint64_t MostRequestsInFlight = 1'000'000;
constexpr std::uint64_t LongestMilliseconds = 600'000;

class SettingsReader
{
public:
    explicit SettingsReader(std::string file)
        : file(std::move(file))
    {}

    tl::expected<Settings, std::vector<YamlFault>> read(const std::string &text)
    {
        try {
            const YAML::Node root = YAML::Load(text);
            this->readRoot(root);
        } catch (const YAML::Exception &error) {
            this->faults.push_back({this->file, error.mark.line + 1, "", error.msg});
        }
        if (!this->faults.empty())
            return tl::unexpected(this->faults);
        return this->settings;
    }

private:
    void readRoot(const YAML::Node &root)
    {
        YamlMapReader reader(root, this->file, "", this->faults);
        reader.readString("host", this->settings.host, true);
        reader.readString("failure-domain", this->settings.failureDomain, true);
        this->readEndpoint(reader, "callers", this->settings.callers, 0);
        this->readEndpoint(reader, "operators", this->settings.operators, 0);
        this->readEndpoint(reader, "peers", this->settings.peers, 0);
        this->readEndpoint(reader, "platform", this->settings.platform, 1);
        reader.readInteger("max-body-bytes", this->settings.maxBodyBytes, 1'024, LargestBodyBytes);
        reader.readInteger("max-requests-in-flight", this->settings.maxRequestsInFlight, 1,
                           MostRequestsInFlight);
        this->readMilliseconds(reader, "platform-timeout-ms", this->settings.platformTimeout);
        this->readMilliseconds(reader, "heartbeat-interval-ms", this->settings.heartbeatInterval);
        this->readMilliseconds(reader, "shutdown-grace-ms", this->settings.shutdownGrace);
        this->readSeverity(reader);
        reader.rejectUnknownKeys();
    }

    void readEndpoint(YamlMapReader &parent, const std::string &key, Endpoint &endpoint,
                      std::uint64_t leastPort)
    {
        if (!parent.has(key))
            parent.fault(key, "is missing; it must be a map of address and port");
        const YAML::Node node = parent.readMap(key);
        if (!parent.has(key))
            return;
        YamlMapReader reader(node, this->file, key, this->faults);
        std::uint64_t port = 0;
        reader.readString("address", endpoint.address, true);
        reader.readInteger("port", port, leastPort, LargestPort, true);
        reader.rejectUnknownKeys();
        endpoint.port = static_cast<std::uint16_t>(port);
    }

    void readMilliseconds(YamlMapReader &reader, const std::string &key, Duration &value)
    {
        std::uint64_t milliseconds = static_cast<std::uint64_t>(value.count() / 1'000);
        reader.readInteger(key, milliseconds, 1, LongestMilliseconds);
        value = std::chrono::milliseconds(milliseconds);
    }

    void readSeverity(YamlMapReader &reader)
    {
        std::string name(severityName(this->settings.logThreshold));
        reader.readChoice("log-threshold", name, {"debug", "info", "warning", "error"});
        for (const Severity severity :
             {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error}) {
            if (severityName(severity) == name)
                this->settings.logThreshold = severity;
        }
    }

    std::string file;
    std::vector<YamlFault> faults;
    Settings settings;
};

} // namespace

tl::expected<Settings, std::vector<YamlFault>> settingsFromYaml(const std::string &text,
                                                                const std::string &file)
{
    return SettingsReader(file).read(text);
}

} // namespace dotterel
