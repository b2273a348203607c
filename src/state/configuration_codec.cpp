#include "state/configuration_codec.h"

#include "core/json_input.h"
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace dotterel {

namespace {

constexpr double MaxDeadlineSeconds = 86'400;
constexpr double MaxShare = 1e6;
constexpr std::uint64_t MaxMemoryTokens = 1'000'000'000;
constexpr std::uint64_t MaxPort = 65'535;
constexpr std::size_t MaxYamlBytes = 64UL * 1024 * 1024;

class ConfigurationReader
{
public:
    ConfigurationReader(std::string file, const Configuration &base)
        : file(std::move(file))
        , base(base)
    {
        this->configuration.policy = base.policy;
    }

    tl::expected<Configuration, std::vector<YamlError>> read(const std::string &text)
    {
        const YAML::Node root = parseYaml(text, this->file, MaxYamlBytes, this->errors);
        if (this->errors.empty())
            this->readRoot(root);
        if (!this->errors.empty())
            return tl::unexpected(this->errors);
        return this->configuration;
    }

private:
    void readRoot(const YAML::Node &root)
    {
        YamlMapReader reader(root, this->file, "", this->errors);
        for (const YAML::Node &node : reader.readMapList("workspaces"))
            this->readWorkspace(node);
        for (const YAML::Node &node : reader.readMapList("request-classes"))
            this->readRequestClass(node);
        for (const YAML::Node &node : reader.readMapList("pools"))
            this->readPool(node);
        for (const YAML::Node &node : reader.readMapList("backend-servers"))
            this->readServer(node);
        this->readPolicy(reader.readMap("policy"));
        reader.rejectUnknownKeys();
    }

    template <typename Value>
    void insertUnique(YamlMapReader &reader, std::map<std::string, Value> &values,
                      const std::string &key, const std::string &name, const Value &value)
    {
        if (!name.empty() && !values.emplace(name, value).second)
            reader.addError(key, "\"" + name + "\" is given twice");
    }

    void readWorkspace(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "workspaces", this->errors);
        Workspace workspace;
        reader.readString("name", workspace.name, true);
        reader.readNumber("share", workspace.share, 0, MaxShare);
        reader.rejectUnknownKeys();
        this->insertUnique(reader, this->configuration.workspaces, "name", workspace.name,
                           workspace);
    }

    void readRequestClass(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "request-classes", this->errors);
        RequestClass requestClass;
        double deadlineSeconds = toSeconds(requestClass.deadline);
        reader.readString("name", requestClass.name, true);
        reader.readNumber("deadline-s", deadlineSeconds, 0.1, MaxDeadlineSeconds, true);
        reader.readBoolean("idempotent", requestClass.idempotent);
        reader.rejectUnknownKeys();
        requestClass.deadline = fromSeconds(deadlineSeconds);
        this->insertUnique(reader, this->configuration.requestClasses, "name", requestClass.name,
                           requestClass);
    }

    void readPool(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "pools", this->errors);
        Pool pool;
        std::string kind = "model";
        reader.readString("name", pool.name, true);
        reader.readChoice("kind", kind, {"model", "service"}, true);
        reader.rejectUnknownKeys();
        pool.kind = kind == "model" ? PoolKind::Model : PoolKind::Service;
        this->insertUnique(reader, this->configuration.pools, "name", pool.name, pool);
    }

    void readServer(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "backend-servers", this->errors);
        BackendServer server;
        std::uint64_t port = 0;
        reader.readString("id", server.id, true);
        reader.readString("pool", server.pool, true);
        reader.readString("address", server.endpoint.address, true);
        reader.readInteger("port", port, 1, MaxPort, true);
        reader.readString("failure-domain", server.failureDomain, true);
        reader.readInteger("memory-tokens", server.memoryTokens, 1, MaxMemoryTokens);
        reader.readBoolean("honours-fencing", server.honoursFencing);
        reader.readBoolean("draining", server.draining);
        reader.rejectUnknownKeys();
        server.endpoint.port = static_cast<std::uint16_t>(port);
        if (reader.has("address") && !isIpAddress(server.endpoint.address))
            reader.addError("address",
                            "must be an IP address, not \"" + server.endpoint.address + "\"");
        const bool poolExists = this->configuration.pools.count(server.pool) > 0
                                || this->base.pools.count(server.pool) > 0;
        if (!server.pool.empty() && !poolExists)
            reader.addError("pool", "pool \"" + server.pool + "\" is not defined");
        this->insertUnique(reader, this->configuration.servers, "id", server.id, server);
    }

    void readPolicy(const YAML::Node &node)
    {
        YamlMapReader reader(node, this->file, "policy", this->errors);
        reader.readNumber("short-slowdown", this->configuration.policy.shortSlowdown, 0, 1);
        reader.readNumber("first-token", this->configuration.policy.firstToken, 0, 1);
        reader.rejectUnknownKeys();
    }

    std::string file;
    const Configuration &base;
    std::vector<YamlError> errors;
    Configuration configuration;
};

} // namespace

tl::expected<Configuration, std::vector<YamlError>>
configurationFromYaml(const std::string &text, const std::string &file, const Configuration &base)
{
    return ConfigurationReader(file, base).read(text);
}

nlohmann::json configurationToJson(const Configuration &configuration)
{
    nlohmann::json json;
    json["version"] = configuration.version;
    json["workspaces"] = nlohmann::json::array();
    for (const auto &[name, workspace] : configuration.workspaces)
        json["workspaces"].push_back(
                {{"name", name}, {"share", workspace.share}, {"changedAt", workspace.changedAt}});
    json["requestClasses"] = nlohmann::json::array();
    for (const auto &[name, requestClass] : configuration.requestClasses) {
        json["requestClasses"].push_back({{"name", name},
                                          {"deadlineUs", requestClass.deadline.count()},
                                          {"idempotent", requestClass.idempotent},
                                          {"changedAt", requestClass.changedAt}});
    }
    json["pools"] = nlohmann::json::array();
    for (const auto &[name, pool] : configuration.pools)
        json["pools"].push_back({{"name", name}, {"kind", poolKindName(pool.kind)}});
    json["servers"] = nlohmann::json::array();
    for (const auto &[id, server] : configuration.servers) {
        json["servers"].push_back({{"id", id},
                                   {"pool", server.pool},
                                   {"address", server.endpoint.address},
                                   {"port", server.endpoint.port},
                                   {"failureDomain", server.failureDomain},
                                   {"memoryTokens", server.memoryTokens},
                                   {"honoursFencing", server.honoursFencing},
                                   {"draining", server.draining}});
    }
    json["policy"] = {{"shortSlowdown", configuration.policy.shortSlowdown},
                      {"firstToken", configuration.policy.firstToken}};
    json["sheetExportedAt"] = configuration.sheetExportedAt;
    return json;
}

tl::expected<Configuration, std::string> configurationFromJson(std::string_view text)
{
    Configuration configuration;
    try {
        const auto parsed = parseJson(text);
        if (!parsed)
            return tl::unexpected(parsed.error());
        const nlohmann::json &json = *parsed;
        configuration.version = toUnsigned<std::uint64_t>(json.at("version"));
        for (const nlohmann::json &entry : json.at("workspaces")) {
            const std::string name = entry.at("name").get<std::string>();
            configuration.workspaces[name] = {name, entry.at("share").get<double>(),
                                              entry.value("changedAt", WallMilliseconds{0})};
        }
        for (const nlohmann::json &entry : json.at("requestClasses")) {
            const std::string name = entry.at("name").get<std::string>();
            configuration.requestClasses[name] = {
                    name, Duration(entry.at("deadlineUs").get<std::int64_t>()),
                    entry.at("idempotent").get<bool>(),
                    entry.value("changedAt", WallMilliseconds{0})};
        }
        for (const nlohmann::json &entry : json.at("pools")) {
            const std::string name = entry.at("name").get<std::string>();
            const bool isModelPool = entry.at("kind").get<std::string>() == "model";
            configuration.pools[name] = {name, isModelPool ? PoolKind::Model : PoolKind::Service};
        }
        for (const nlohmann::json &entry : json.at("servers")) {
            BackendServer server;
            server.id = entry.at("id").get<std::string>();
            server.pool = entry.at("pool").get<std::string>();
            server.endpoint.address = entry.at("address").get<std::string>();
            if (!isIpAddress(server.endpoint.address))
                return tl::unexpected("server " + server.id + " has no IP address");
            server.endpoint.port = toUnsigned<std::uint16_t>(entry.at("port"));
            server.failureDomain = entry.at("failureDomain").get<std::string>();
            server.memoryTokens = toUnsigned<std::uint64_t>(entry.at("memoryTokens"));
            server.honoursFencing = entry.at("honoursFencing").get<bool>();
            server.draining = entry.value("draining", false);
            configuration.servers[server.id] = server;
        }
        const nlohmann::json &policy = json.at("policy");
        configuration.policy.shortSlowdown = policy.at("shortSlowdown").get<double>();
        configuration.policy.firstToken = policy.at("firstToken").get<double>();
        configuration.sheetExportedAt = json.value("sheetExportedAt", WallMilliseconds{0});
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
    return configuration;
}

} // namespace dotterel
