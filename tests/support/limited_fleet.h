#pragma once

#include "support/forward_bench.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::support {

/// What callers of a LimitedFleet send.
enum class LimitedLoad {
    Lookups, ///< Requests that a plain server answers after 30 ms.
    Prompts, ///< Streams of one event, which an engine sends after 30 ms.
};

/// Several hosts that forward to the same servers, in virtual time. The servers may name a limit or
/// warm up; what hosts tell each other arrives after a delay, or is lost.
class LimitedFleet
{
public:
    LimitedFleet(std::size_t hostCount, std::size_t serverCount,
                 LimitedLoad load = LimitedLoad::Lookups);

    /// Makes a server name \a limit in its answers from now on; nullopt for none.
    void setLimit(std::size_t server, std::optional<double> limit);

    /// States how long servers of all pools warm up, and at which rate.
    void setWarmUp(Duration warmUpTime, double rate);

    /// Lets \a window prompts wait at an engine that starts or recovers, and tells all hosts of all
    /// prompts.
    void setPaceWindow(std::size_t window);

    /// Makes a server answer after \a time until \a duration from now.
    void slowDown(std::size_t server, Duration time, Duration duration);

    /// Starts another incarnation of a server, which warms up if the pools state it. Its entry
    /// reaches the hosts shortly after, and again while it warms up.
    void restartServer(std::size_t server);

    /// Makes a server warm up for \a duration from now on although it has not restarted; zero ends
    /// it. \a inAnswers tells that its answers say so, its entry does otherwise.
    void warmUpAgain(std::size_t server, Duration duration, bool inAnswers);

    /// Cuts the first \a count hosts off from the others, but not from the servers. \a known tells
    /// whether the hosts on each side have learned that the others are out of touch.
    void cut(std::size_t count, bool known);

    /// Ends the process of \a host and starts another one.
    void restart(std::size_t host);

    /// Plays \a duration with \a requestsPerSecond callers at random hosts.
    void play(Duration duration, double requestsPerSecond);

    /// Returns the largest number of requests that \a server got in any four seconds from \a since
    /// on.
    std::size_t mostIn4Seconds(std::size_t server, TimePoint since) const;

    /// Returns the same for one second, within the warm-ups of \a server.
    std::size_t mostIn1SecondOfWarmUps(std::size_t server) const;

    /// Returns the number of requests that \a server got since \a since.
    std::size_t arrivals(std::size_t server, TimePoint since) const;

    /// Returns the server that got the most requests since \a since.
    std::size_t busiest(TimePoint since) const;

    /// Returns the delays, in milliseconds, that refused callers were told.
    const std::vector<double> &retryDelaysMs() const { return this->retryDelays; }

    TimePoint now{std::chrono::seconds(100)};
    std::size_t served = 0;
    std::size_t refused = 0;
    double lossRate = 0; ///< Share of the notices between hosts that are lost.

private:
    struct Server
    {
        ServerId id;
        std::optional<double> limit;
        std::vector<TimePoint> arrivedAt;
        std::vector<TimePoint> arrivedInWarmUp; ///< After hosts may know of it.
        std::uint64_t incarnation = 1;
        TimePoint warmAt;
        TimePoint boundSince; ///< When hosts may know of the latest warm-up.
        bool warmsUpInAnswers = false;
        Duration slowTime = Duration::zero();
        TimePoint slowUntil;
        std::optional<TimePoint> nextEntryAt; ///< The entry is written again.
    };

    struct PendingEntry
    {
        TimePoint dueAt;
        std::size_t receiver = 0;
        GatewayServer server;
    };

    struct PendingAnswer
    {
        TimePoint dueAt;
        std::size_t host = 0;
        std::size_t attempt = 0;
        std::size_t server = 0;
    };

    struct PendingNotice
    {
        TimePoint dueAt;
        std::size_t sender = 0;
        std::size_t receiver = 0;
        std::uint32_t senderHash = 0;
        std::optional<ServerLimitNotice> limit;
        std::optional<ServerWarmUpNotice> warmUp;
        std::optional<PromptUpdate> prompt;
    };

    void startHost(std::size_t host);
    void sendNotices(std::size_t host);
    void sendNotice(const PendingNotice &notice);
    void deliverDueNotices();
    void deliver(const PendingNotice &pending);
    void deliverPrompt(const PendingNotice &pending);
    GatewayServer entryOf(const Server &server) const;
    void writeDueEntries();
    void deliverDueEntries();
    bool isCut(std::size_t left, std::size_t right) const;
    void sendRequest(std::size_t host);
    void collectAttempts(std::size_t host);
    void answerDueAttempts();
    void countOutcomes();

    LimitedLoad load;
    std::vector<std::unique_ptr<ForwardBench>> hosts;
    std::vector<std::uint32_t> hostHashes;
    std::uint32_t nextHostHash = 1;
    std::size_t cutHosts = 0;
    std::deque<PendingNotice> notices;
    std::vector<PendingEntry> entries;
    Duration warmUpTime = Duration::zero();
    double warmUpRate = 0;
    std::size_t paceWindow = 0;
    bool sharesPrompts = false;
    std::vector<std::size_t> collectedAttempts; ///< Number of attempts of each host seen so far.
    std::vector<Server> servers;
    std::deque<PendingAnswer> answers;
    std::vector<std::pair<std::size_t, HttpCallId>> openCalls;
    std::vector<double> retryDelays;
    std::uint64_t nextRequest = 1;
    SeededRandom random{11};
};

} // namespace dotterel::support
