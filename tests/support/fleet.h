#pragma once

#include "entry_host/entry_host.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_platform.h"
#include "fakes/fake_service.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dotterel::support {

/// Size of a Fleet. Hosts and servers are spread over the failure domains in turn.
struct FleetShape
{
    std::size_t failureDomains = 3;
    std::size_t hosts = 3;
    std::size_t engines = 3;
    std::size_t services = 3;
};

/// Several entry hosts and their stand-ins on one loop in the test's own process, on free ports.
/// Pools are "cake-model" and "shop-orders"; classes are "question", "review" and "order"; the
/// workspace is "harinal".
class Fleet
{
public:
    explicit Fleet(const FleetShape &shape);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    EventLoop &eventLoop() { return this->loop; }
    HttpClient &httpClient() { return this->client; }
    fakes::FakePlatform &platform() { return *this->fakePlatform; }
    fakes::FakeEngine &engine(std::size_t index) { return *this->engines.at(index); }
    fakes::FakeService &service(std::size_t index) { return *this->services.at(index); }
    EntryHost &host(std::size_t index) { return *this->hosts.at(index); }
    std::size_t hostCount() const { return this->hosts.size(); }

    /// Starts host \a index, or starts it anew with a higher incarnation.
    void startHost(std::size_t index);

    /// Stops host \a index at once, as a crash would.
    void killHost(std::size_t index);

    /// Tells the platform which hosts there are.
    void publishHosts();

    /// Stores configuration \a version with \a deadlines, in seconds, of the request classes.
    void storeConfiguration(std::uint64_t version,
                            const std::map<std::string, double> &deadlines = {});

    /// Runs the loop until \a condition holds; returns false after \a limit.
    bool runUntil(const std::function<bool()> &condition,
                  Duration limit = std::chrono::seconds(10));

    /// Runs the loop for \a time.
    void runFor(Duration time);

    /// Sends a request to host \a index and returns the answer, or none if the connection failed.
    std::optional<HttpResponse> call(std::size_t index, const std::string &method,
                                     const std::string &target, const HttpHeaders &headers,
                                     const std::string &body);

    /// Asks host \a index for a streamed completion of \a promptTokens tokens.
    std::optional<HttpResponse> ask(std::size_t index, std::uint64_t promptTokens,
                                    const std::string &requestClass = "question");

    /// Sends an order with \a key through host \a index.
    std::optional<HttpResponse> order(std::size_t index, const std::string &key,
                                      const std::string &body = "{}");

    /// Returns how often the order with \a key ran at all services together.
    std::uint64_t orderCount(const std::string &key) const;

    /// Reads /status of host \a index.
    std::string status(std::size_t index);

private:
    Settings settingsFor(std::size_t index) const;

    FleetShape shape;
    EventLoop loop;
    HttpClient client;
    NullEventLog log;
    std::unique_ptr<fakes::FakePlatform> fakePlatform;
    std::vector<std::unique_ptr<fakes::FakeEngine>> engines;
    std::vector<std::unique_ptr<fakes::FakeService>> services;
    std::vector<std::unique_ptr<EntryHost>> hosts;
    Incarnation nextIncarnation = 1;
    std::uint64_t configurationObjectVersion = 0;
};

/// Returns the name of failure domain \a index.
std::string failureDomainName(std::size_t index);

/// Returns the body of a streamed completion request with \a promptTokens tokens.
std::string completionBody(std::uint64_t promptTokens, const std::string &marker = "");

} // namespace dotterel::support
