#pragma once

#include "support/forward_bench.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dotterel::support {

/// A class of prompts that callers of an OverloadFleet send.
struct PromptClass
{
    Route route;
    double share = 0; ///< Of the engines' time that all prompts ask for.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    double worth = 0; ///< Of an answer in time to a prompt of mean size.
    double lateWorth = 0;
};

/// Prompts that were asked for and what became of them.
struct ServedCount
{
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refusedTwice = 0; ///< The caller came back after a refusal and was refused again.
    double askedWorth = 0;
    double earnedWorth = 0;

    double servedFraction() const;
};

/// Several hosts that share engines which do prefill in chunks and decode in batches, in virtual
/// time, while callers ask for more than the engines can do. Callers leave after the time that
/// streamAbandonTime() names and come back once after a refusal.
class OverloadFleet
{
public:
    OverloadFleet(std::vector<PromptClass> classes, std::size_t hostCount, std::size_t engineCount);

    /// Plays \a duration while prompts ask for \a demand times the prefill that the engines can do;
    /// \a burst is the class that asks for half of it, if one does.
    void play(Duration duration, double demand, const std::string &burst = "");

    /// Counts by class ("class NAME"), workspace ("workspace NAME") and size ("largest tenth").
    const std::map<std::string, ServedCount> &counts() const { return this->countsByName; }

    /// Returns an upper bound of the worth that any scheduler could earn from what was asked for:
    /// it knows all prompts, serves those with the highest worth for the prefill or for the time in
    /// slots that they need, and no engine ever waits.
    double bestWorth() const;

private:
    struct Work
    {
        std::size_t host = 0;
        std::uint64_t attempt = 0;
        bool isHelper = false;
        std::uint64_t promptTokens = 0;
        double prefillLeft = 0; ///< Tokens.
        double outputLeft = 0;  ///< Tokens.
        bool started = false;   ///< Its first event was sent.
    };

    struct Engine
    {
        ServerId id;
        std::deque<Work> work; ///< In prefill order.
        TimePoint stepEndsAt;
        std::size_t stepsOfPass = 0;
    };

    struct Caller
    {
        std::size_t promptClass = 0;
        std::size_t host = 0;
        HttpCallId call = 0;
        std::string workspace;
        double size = 1; ///< Relative to the class.
        bool isReturn = false;
        TimePoint firstSentAt;
        TimePoint sentAt;
        TimePoint deadline;
        TimePoint lastEventAt;
        std::size_t bodyBytes = 0;
        Duration firstEvent = Duration::zero();
        Duration longestPause = Duration::zero();
    };

    /// What a prompt is worth and what it needs of an engine at least.
    struct Asked
    {
        double worth = 0;
        double prefillSeconds = 0;
        double slotSeconds = 0;
    };

    void send(Caller caller);
    void deliverUpdates(std::size_t host);
    void startWork(std::size_t host, const PromptUpdate &update);
    void step(Engine &engine);
    bool isPrefilled(const Work &work) const;
    /// Returns true once nothing more is to be seen of \a caller.
    bool follow(Caller &caller);
    void record(const Caller &caller, double earned, bool inTime);
    double worthOf(const Caller &caller, double classWorth) const;

    std::vector<PromptClass> classes;
    std::vector<std::unique_ptr<ForwardBench>> hosts;
    std::vector<std::size_t> seenUpdates;
    std::vector<std::size_t> seenReservations;
    std::vector<Engine> engines;
    std::vector<Caller> callers;
    std::vector<std::pair<TimePoint, Caller>> returning;
    std::map<std::string, ServedCount> countsByName;
    std::vector<Asked> askedFor;
    Duration played = Duration::zero();
    TimePoint now;
    SeededRandom random{17};
};

} // namespace dotterel::support
