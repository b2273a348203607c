#pragma once

#include "protocol/host_status.h"
#include "state/configuration_repository.h"
#include "state/http_object_store.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// What became of one host's answer about itself.
struct HostReading
{
    HostListEntry host;
    tl::expected<HostStatus, std::string> status;
};

/// A deployment as an operator reaches it: the platform, and each host at its operator address.
/// Each call runs the loop until it has its answer.
class Deployment
{
public:
    /// \a loop and \a client must outlive the object.
    Deployment(EventLoop &loop, HttpClient &client, const Endpoint &platform, Duration timeout);

    /// Reads the stored configuration; it has version 0 if none was stored.
    tl::expected<Configuration, std::string> load();

    /// Stores \a configuration as the successor of \a baseVersion and returns its version.
    tl::expected<std::uint64_t, std::string> replace(const Configuration &configuration,
                                                     std::uint64_t baseVersion);

    /// Reads the platform's list of hosts.
    tl::expected<std::vector<HostListEntry>, std::string> hosts();

    /// Reads the status of all \a hosts at once, in their order.
    std::vector<HostReading> readStatus(const std::vector<HostListEntry> &hosts);

    /// Asks \a host to shut down gracefully; the error says why it did not answer.
    tl::expected<void, std::string> drain(const HostListEntry &host);

private:
    tl::expected<HttpResponse, std::string> call(const HttpRequest &request);
    HttpRequest requestTo(const HostListEntry &host, const std::string &method,
                          const std::string &target) const;
    void runUntil(const bool &done);

    EventLoop &loop;
    HttpClient &client;
    Duration timeout;
    NullMetrics metrics;
    HttpObjectStore store;
    ConfigurationRepository repository;
};

} // namespace dotterel
