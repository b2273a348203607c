#pragma once

#include "coordination/placement.h"
#include "state/configuration.h"
#include "transport/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace dotterel {

/// Polls `/v1/load` of the model engines assigned to this host.
class LoadPoller
{
public:
    using Callback = std::function<void(const ServerId &, const LoadReport &)>;

    /// \a callback is called with each load report.
    LoadPoller(HttpClient &client, HostId ownHost, Callback callback);

    /// Polls the engines of \a configuration that are assigned to this host, given the \a live
    /// hosts. An engine whose last poll is still unanswered is not polled again before that poll
    /// times out.
    void poll(const Configuration &configuration, const std::vector<HostId> &live);

private:
    void pollServer(const BackendServer &server);

    HttpClient &client;
    HostId ownHost;
    Callback callback;
    std::map<ServerId, std::unique_ptr<HttpFetch>> openFetches;
    /// Kept until the next poll(), because their callbacks run inside them.
    std::map<ServerId, std::unique_ptr<HttpFetch>> completedFetches;
};

} // namespace dotterel
