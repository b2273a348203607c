#pragma once

#include "coordination/placement.h"
#include "state/configuration.h"
#include "transport/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace dotterel {

/// Reads `/v1/load` of the model engines that this host polls.
class LoadPoller
{
public:
    using Callback = std::function<void(const ServerId &, const LoadReport &)>;

    /// \a callback gets each report.
    LoadPoller(HttpClient &client, HostId self, Callback callback);

    /// Asks the engines of \a configuration that this host polls among the \a live hosts. An engine
    /// that has not answered the last poll is not asked again before that poll times out.
    void poll(const Configuration &configuration, const std::vector<HostId> &live);

private:
    void ask(const BackendServer &server);

    HttpClient &client;
    HostId self;
    Callback callback;
    std::map<ServerId, std::unique_ptr<HttpFetch>> fetches;
    std::map<ServerId, std::unique_ptr<HttpFetch>> finished; ///< Ended since the last poll.
};

} // namespace dotterel
