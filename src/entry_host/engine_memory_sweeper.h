#pragma once

#include "coordination/allocation_sweeper.h"
#include "coordination/backend_directory.h"
#include "transport/http_client.h"

#include <list>
#include <memory>

namespace dotterel {

/// Lists the memory allocations of the model engines assigned to this host, and releases those
/// whose owner no longer exists.
class EngineMemorySweeper
{
public:
    EngineMemorySweeper(EventLoop &loop, HttpClient &client, const Membership &membership,
                        const BackendDirectory &directory, Metrics &metrics, EventLog &log);

private:
    void sweep();
    void listAllocations(const ServerId &server);
    void onAllocationsListed(const ServerId &server, const std::string &text);
    void releaseAllocation(const ServerId &server, const AllocationId &id);
    void sendRequest(const HttpRequest &request,
                     std::function<void(const HttpResponse &)> onSuccess);

    EventLoop &loop;
    HttpClient &client;
    const BackendDirectory &directory;
    Metrics &metrics;
    EventLog &log;
    AllocationSweeper sweeper;
    std::list<std::unique_ptr<HttpFetch>> openFetches;
    EventLoop::TimerHandle sweepTimer;
};

} // namespace dotterel
