#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// What an UploadLoad sends.
struct UploadLoadPlan
{
    Endpoint target;
    std::string path = "/v1/completions";
    std::uint64_t clients = 1; ///< Connections, all open at the same time, one request each.
    std::uint64_t bodyBytes = 4UL * 1024 * 1024;
    Duration timeout = std::chrono::seconds(60);
};

/// What an UploadLoad saw.
struct UploadLoadReport
{
    std::map<int, std::uint64_t> responses; ///< Number of first responses by status.
    std::uint64_t unanswered = 0;           ///< Connections that ended without a response.
    std::uint64_t sentBytes = 0;            ///< Taken by the connections, framing included.
    double elapsed = 0;                     ///< In seconds.
};

/// Uploads bodies of unknown length (chunked) over many connections at once, and goes on sending
/// after a refusal, as clients do that write first and read later. Shows what a host holds for
/// requests that it refuses.
class UploadLoad
{
public:
    using Finished = std::function<void(const UploadLoadReport &)>;

    /// Starts at once; \a finished is called when all clients have ended or the plan's timeout is
    /// over.
    UploadLoad(EventLoop &loop, UploadLoadPlan plan, Finished finished);
    ~UploadLoad();

private:
    class Client;

    void ended(std::uint64_t client, std::optional<int> status);
    void finish();

    EventLoop &loop;
    UploadLoadPlan plan;
    Finished finished;
    std::string chunk; ///< One chunk with its framing.
    TimePoint began;
    UploadLoadReport report;
    std::vector<std::shared_ptr<Client>> clients;
    std::uint64_t endedClients = 0;
    EventLoop::TimerHandle timer;
};

} // namespace dotterel
