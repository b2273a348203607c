#pragma once

#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dotterel {

/// What a StreamLoad sends.
struct StreamLoadPlan
{
    Endpoint target;
    std::uint64_t concurrency = 1; ///< Streams that are open at the same time.
    std::uint64_t requests = 1;    ///< Streams in all.
    std::uint64_t promptTokens = 1'000;
    Duration timeout = std::chrono::seconds(60);
};

/// What a StreamLoad saw; times in seconds, sorted.
struct StreamLoadReport
{
    std::uint64_t finished = 0; ///< Streams that ended with their end mark.
    std::uint64_t failed = 0;
    std::uint64_t events = 0; ///< Server-sent events, tokens and end marks alike.
    std::vector<double> firstToken;
    std::vector<double> tokenGap;
    double elapsed = 0;
};

/// Returns the value at \a quantile, in [0, 1], of \a sorted values; 0 if there are none.
double quantileOf(const std::vector<double> &sorted, double quantile);

/// Keeps a number of completion streams open against an entry host, or directly against a model
/// engine, and takes the times of their tokens.
class StreamLoad
{
public:
    using Finished = std::function<void(const StreamLoadReport &)>;

    /// Starts at once; \a finished is called when the last stream has ended.
    StreamLoad(EventLoop &loop, HttpClient &client, const StreamLoadPlan &plan, Finished finished);
    ~StreamLoad();

private:
    class Stream;

    void startNext();
    void ended(std::uint64_t stream, bool whole);

    EventLoop &loop;
    HttpClient &client;
    StreamLoadPlan plan;
    Finished finished;
    std::shared_ptr<const std::string> body;
    TimePoint began;
    std::uint64_t started = 0;
    StreamLoadReport report;
    std::vector<std::unique_ptr<Stream>> streams;
};

} // namespace dotterel
