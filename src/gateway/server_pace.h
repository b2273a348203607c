#pragma once

#include "core/event_log.h"
#include "core/time.h"
#include "gateway/engine_load.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
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
    /// Hosts take a free place in turn, spread over the time that the latest first event took;
    /// this is the spread before the first one. Prompts cross for about a tenth of it.
    Duration initialTurn = std::chrono::milliseconds(50);
    Duration maxTurn = std::chrono::seconds(1);
    /// Hosts hear of an incarnation within this time of its start. The latest prompts that were
    /// sent to the server in that time may have reached it; up to a window of them count.
    Duration newsDelay = std::chrono::milliseconds(20);
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
/// a late one, also before it comes, and falls to one with a failure. Hosts hear of the prompts of
/// all hosts, so that their windows move alike. A free place is seen by all of them at once, and a
/// prompt stays unknown to the others while its notice travels; hence hosts take places in turn, in
/// an order drawn anew with each change and spread over the time that the latest first event took.
/// Performs no I/O.
class ServerPace
{
public:
    /// \a hostHash differs between the hosts that share the servers; 0 if this one is alone.
    ServerPace(const ServerPaceSettings &settings, EventLog &log, std::uint32_t hostHash = 0)
        : settings(settings)
        , log(log)
        , hostHash(hostHash)
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

    /// Returns true if \a server may get another prompt, from this host and now.
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
        Duration turn{0};                ///< Time over which the hosts' turns are spread.
        TimePoint changedAt;             ///< When the turns were drawn.
        double position = 0;             ///< Of this host's turn, from 0 to 1.
        std::vector<WaitingPrompt> waiting;
    };

    static bool isOver(const Record &record, TimePoint now);
    std::size_t waitingCount(const Record &record, TimePoint now) const;
    std::size_t windowOf(const Record &record, TimePoint now) const;
    void rememberPrompt(const ServerId &server, const WaitingPrompt &prompt);
    void forgetRecent(const PromptKey &key);
    void drawTurn(const ServerId &server, Record &record, std::uint64_t sequence, TimePoint now);
    void shrink(Record &record, std::size_t window, TimePoint now);
    void end(std::map<ServerId, Record>::iterator record, TimePoint now);

    ServerPaceSettings settings;
    EventLog &log;
    std::uint32_t hostHash;
    std::map<ServerId, Record> records;
    std::deque<std::pair<ServerId, WaitingPrompt>> recentPrompts; ///< Within newsDelay.
};

} // namespace dotterel
