#pragma once

#include "support/forward_bench.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::support {

/// Several hosts that forward to the same plain servers, in virtual time. The servers answer after
/// 30 ms and may name a limit; what hosts tell each other arrives after a delay, or is lost.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t hostCount, std::size_t serverCount);

    /// Makes a server name \a limit in its answers from now on; nullopt for none.
    void setLimit(std::size_t server, std::optional<double> limit);

    /// Plays \a duration with \a requestsPerSecond callers at random hosts.
    void play(Duration duration, double requestsPerSecond);

    /// Returns the largest number of requests that \a server got in any four seconds from \a since
    /// on.
    std::size_t mostIn4Seconds(std::size_t server, TimePoint since) const;

    /// Returns the number of requests that \a server got since \a since.
    std::size_t arrivals(std::size_t server, TimePoint since) const;

    /// Returns the delays, in milliseconds, that refused callers were told.
    const std::vector<double> &retryDelaysMs() const { return this->retryDelays; }

    TimePoint now{std::chrono::seconds(100)};
    std::size_t served = 0;
    std::size_t refused = 0;
    std::string target = "/lookups/1"; ///< Of all requests.

private:
    struct Server
    {
        ServerId id;
        std::optional<double> limit;
        std::vector<TimePoint> arrivedAt;
    };

    struct PendingAnswer
    {
        TimePoint dueAt;
        std::size_t host = 0;
        std::size_t attempt = 0;
        std::size_t server = 0;
    };

    void sendRequest(std::size_t host);
    void collectAttempts(std::size_t host);
    void answerDueAttempts();
    void countOutcomes();

    std::vector<std::unique_ptr<ForwardBench>> hosts;
    std::vector<std::size_t> collectedAttempts; ///< Number of attempts of each host seen so far.
    std::vector<Server> servers;
    std::deque<PendingAnswer> answers;
    std::vector<std::pair<std::size_t, HttpCallId>> openCalls;
    std::vector<double> retryDelays;
    SeededRandom random{11};
};

} // namespace dotterel::support
