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
    void list(const ServerId &server);
    void onListed(const ServerId &server, const std::string &text);
    void release(const ServerId &server, const AllocationId &id);
    void send(const HttpRequest &request, std::function<void(const HttpResponse &)> onAnswer);

    EventLoop &loop;
    HttpClient &client;
    const BackendDirectory &directory;
    Metrics &metrics;
    EventLog &log;
    AllocationSweeper decision;
    std::list<std::unique_ptr<HttpFetch>> calls;
    EventLoop::TimerHandle timer;
};

} // namespace dotterel
