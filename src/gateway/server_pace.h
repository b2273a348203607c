#pragma once

#include "core/event_log.h"
#include "core/time.h"
#include "gateway/engine_load.h"

#include <map>
#include <optional>
#include <vector>

namespace dotterel {

/// Parameters of ServerPace.
struct ServerPaceSettings
{
    /// Prompts that may wait for their first event at a server that has just started or recovered;
    /// 0 if servers are not paced.
    std::size_t initialWindow = 0;
    /// A server is paced no longer than this after its first prompt and after its latest setback.
    Duration maxTime = std::chrono::seconds(2);
    /// A prompt without a first event counts as waiting until this long after it was due.
    Duration maxOverdue = std::chrono::seconds(1);
};

/// Why a server is paced.
enum class PaceReason {
    Started,   ///< Another incarnation.
    Recovered, ///< It answers again.
};

/// Returns the external name of \a reason.
std::string_view paceReasonName(PaceReason reason);

/// Finds from the first events of prompts how fast an engine that has just started or recovered
/// takes its share. Such an engine looks empty to all hosts at once, and its estimate says nothing
/// yet of how it works. The number of prompts that may wait for their first event starts small and
/// grows by one with each first event in time, which doubles it in the time of one; it is halved by
/// a late one, and falls to one with a failure. Hosts hear of the prompts of all hosts, so that
/// their windows move alike. Performs no I/O.
class ServerPace
{
public:
    ServerPace(const ServerPaceSettings &settings, EventLog &log)
        : settings(settings)
        , log(log)
    {}

    /// Starts to pace \a server, which runs \a slots prompts at once.
    void start(const ServerId &server, std::size_t slots, PaceReason reason, TimePoint now);

    /// Records a prompt of any host. Its first event is in time until \a dueAt.
    void onDispatched(const ServerId &server, const PromptKey &key, TimePoint dueAt, TimePoint now);

    /// Records the first event of a prompt. Returns its server if that is paced and the event was
    /// in time.
    std::optional<ServerId> onFirstEvent(const PromptKey &key, TimePoint now);

    /// Records the end of a prompt.
    void onEnded(const PromptKey &key);

    /// Records that \a server refused a request, failed it or did not answer.
    void onSetback(const ServerId &server, TimePoint now);

    /// Returns true if \a server may get another prompt.
    bool admits(const ServerId &server, TimePoint now) const;

    /// Returns the number of prompts that may wait at \a server; nullopt if it is not paced.
    std::optional<std::size_t> window(const ServerId &server, TimePoint now) const;

    void forget(const ServerId &server) { this->records.erase(server); }

    /// Ends what has lasted too long. Returns the number of servers that are paced.
    std::size_t settle(TimePoint now);

private:
    struct WaitingPrompt
    {
        PromptKey key;
        TimePoint dispatchedAt;
        TimePoint dueAt;
    };

    struct Record
    {
        std::size_t slots = 1;
        std::size_t window = 1;
        TimePoint startedAt;
        std::optional<TimePoint> endsAt; ///< Set by the first prompt.
        TimePoint setbackAt;             ///< Prompts from before it have had their effect.
        std::vector<WaitingPrompt> waiting;
    };

    static bool isOver(const Record &record, TimePoint now);
    void shrink(Record &record, std::size_t window, TimePoint now);
    void end(std::map<ServerId, Record>::iterator record, TimePoint now);

    ServerPaceSettings settings;
    EventLog &log;
    std::map<ServerId, Record> records;
};

} // namespace dotterel
