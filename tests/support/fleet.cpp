#include "support/fleet.h"

#include "state/configuration_codec.h"

#include <nlohmann/json.hpp>

namespace dotterel::support {

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr Duration CallLimit = std::chrono::seconds(30);

Configuration configurationOf(std::uint64_t version, const std::map<std::string, double> &deadlines)
{
    const auto deadline = [&deadlines](const std::string &name, double seconds) {
        const auto found = deadlines.find(name);
        return fromSeconds(found == deadlines.end() ? seconds : found->second);
    };
    Configuration configuration;
    configuration.version = version;
    configuration.workspaces["harinal"] = {"harinal", 1.0};
    configuration.requestClasses["question"] = {"question", deadline("question", 10), true};
    configuration.requestClasses["review"] = {"review", deadline("review", 30), true};
    configuration.requestClasses["order"] = {"order", deadline("order", 10), false};
    configuration.pools["cake-model"] = {"cake-model", PoolKind::Model};
    configuration.pools["shop-orders"] = {"shop-orders", PoolKind::Service};
    return configuration;
}

} // namespace

std::string failureDomainName(std::size_t index)
{
    return std::string("centro-") + static_cast<char>('a' + index);
}

std::string completionBody(std::uint64_t promptTokens, const std::string &marker)
{
    const nlohmann::json body = {
            {"model", "cake-model"},
            {"stream", true},
            {"prompt", marker + std::string(promptTokens * BytesPerToken, 'a')}};
    return body.dump();
}

Fleet::Fleet(const FleetShape &shape)
    : shape(shape)
    , client(this->loop)
    , fakePlatform(std::make_unique<fakes::FakePlatform>(this->loop, Endpoint{}))
    , hosts(shape.hosts)
{
    for (std::size_t i = 0; i < shape.engines; ++i)
        this->engines.push_back(std::make_unique<fakes::FakeEngine>(this->loop, Endpoint{},
                                                                    fakes::EngineBehaviour{}));
    for (std::size_t i = 0; i < shape.services; ++i)
        this->services.push_back(std::make_unique<fakes::FakeService>(this->loop, Endpoint{},
                                                                      fakes::ServiceBehaviour{}));
    this->storeConfiguration(1);
    for (std::size_t i = 0; i < shape.hosts; ++i)
        this->startHost(i);
    this->publishHosts();
    this->runUntil([this] {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            if (nlohmann::json::parse(this->status(i)).at("configuration_version") == 0)
                return false;
        }
        return true;
    });
}

Fleet::~Fleet() = default;

void Fleet::startHost(std::size_t index)
{
    this->hosts.at(index) = std::make_unique<EntryHost>(this->loop, this->settingsFor(index),
                                                        this->nextIncarnation++, this->log);
}

void Fleet::killHost(std::size_t index)
{
    this->hosts.at(index).reset();
}

void Fleet::publishHosts()
{
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (this->hosts[i] == nullptr)
            continue;
        const Settings settings = this->settingsFor(i);
        list.push_back({{"id", settings.host},
                        {"role", "entry"},
                        {"failure_domain", settings.failureDomain},
                        {"address", "127.0.0.1"},
                        {"peer_port", this->hosts[i]->peers().port},
                        {"operator_port", this->hosts[i]->operators().port}});
    }
    this->fakePlatform->setHosts(list.dump());
}

void Fleet::storeConfiguration(std::uint64_t version,
                               const std::map<std::string, double> &deadlines)
{
    Configuration configuration = configurationOf(version, deadlines);
    const auto addServer = [this, &configuration](const std::string &id, const std::string &pool,
                                                  const Endpoint &endpoint, std::size_t index) {
        BackendServer server;
        server.id = id;
        server.pool = pool;
        server.endpoint = endpoint;
        server.failureDomain = failureDomainName(index % this->shape.failureDomains);
        configuration.servers[id] = server;
    };
    for (std::size_t i = 0; i < this->engines.size(); ++i)
        addServer("engine-" + std::to_string(i), "cake-model", this->engines[i]->endpoint(), i);
    for (std::size_t i = 0; i < this->services.size(); ++i)
        addServer("orders-" + std::to_string(i), "shop-orders", this->services[i]->endpoint(), i);

    NullMetrics metrics;
    HttpObjectStore store(this->loop, this->client, this->fakePlatform->endpoint(), CallLimit,
                          metrics);
    bool done = false;
    store.write("config/root", configurationToJson(configuration).dump(),
                this->configurationObjectVersion,
                [this, &done](const ObjectStore::WriteResult &result, TimePoint) {
                    if (result)
                        this->configurationObjectVersion = *result;
                    done = true;
                });
    this->runUntil([&done] { return done; });
}

bool Fleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    bool expired = false;
    const EventLoop::TimerHandle timer = this->loop.after(limit, [&expired] { expired = true; });
    while (!condition()) {
        if (expired)
            return false;
        this->loop.runOnce(true);
    }
    return true;
}

void Fleet::runFor(Duration time)
{
    bool expired = false;
    const EventLoop::TimerHandle timer = this->loop.after(time, [&expired] { expired = true; });
    while (!expired)
        this->loop.runOnce(true);
}

std::optional<HttpResponse> Fleet::call(std::size_t index, const std::string &method,
                                        const std::string &target, const HttpHeaders &headers,
                                        const std::string &body)
{
    HttpRequest request;
    request.endpoint = this->hosts.at(index)->callers();
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = std::make_shared<const std::string>(body);
    request.timeout = CallLimit;
    bool done = false;
    std::optional<HttpResponse> answer;
    const HttpFetch fetch(this->client, request,
                          [&](const std::optional<HttpResponse> &response, const HttpFailure &) {
                              answer = response;
                              done = true;
                          });
    this->runUntil([&done] { return done; }, CallLimit);
    return answer;
}

std::optional<HttpResponse> Fleet::ask(std::size_t index, std::uint64_t promptTokens,
                                       const std::string &requestClass)
{
    return this->call(index, "POST", "/v1/completions",
                      {{"X-Workspace", "harinal"}, {"X-Request-Class", requestClass}},
                      completionBody(promptTokens));
}

std::optional<HttpResponse> Fleet::order(std::size_t index, const std::string &key,
                                         const std::string &body)
{
    return this->call(index, "POST", "/v1/services/shop-orders/v1/orders",
                      {{"X-Workspace", "harinal"},
                       {"X-Request-Class", "order"},
                       {"Idempotency-Key", key},
                       {"Content-Type", "application/json"}},
                      body);
}

std::uint64_t Fleet::orderCount(const std::string &key) const
{
    std::uint64_t count = 0;
    for (const auto &service : this->services)
        count += service->count(key);
    return count;
}

std::string Fleet::status(std::size_t index)
{
    HttpRequest request;
    request.endpoint = this->hosts.at(index)->operators();
    request.target = "/status";
    bool done = false;
    std::string text = "{}";
    const HttpFetch fetch(this->client, request,
                          [&](const std::optional<HttpResponse> &response, const HttpFailure &) {
                              if (response)
                                  text = response->body;
                              done = true;
                          });
    this->runUntil([&done] { return done; }, CallLimit);
    return text;
}

Settings Fleet::settingsFor(std::size_t index) const
{
    Settings settings;
    settings.host = "host-" + std::to_string(index);
    settings.failureDomain = failureDomainName(index % this->shape.failureDomains);
    settings.platform = this->fakePlatform->endpoint();
    settings.heartbeatInterval = std::chrono::milliseconds(50);
    settings.shutdownGrace = std::chrono::milliseconds(50);
    return settings;
}

} // namespace dotterel::support
