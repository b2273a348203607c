#pragma once

#include "core/metrics.h"
#include "gateway/event_stream_splitter.h"
#include "gateway/forward_effects.h"
#include "gateway/memory_releases.h"
#include "gateway/prompt_placement.h"
#include "gateway/prompt_updates.h"
#include "gateway/relay_envelope.h"
#include "gateway/route_table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

/// One attempt to run a request on a backend server.
struct ForwardAttempt
{
    ForwardAttemptId id = 0;
    ServerId server;                          ///< Empty if the attempt goes through another host.
    HostId relayHost;                         ///< That host; empty otherwise.
    std::optional<RelayRefusal> relayRefusal; ///< Set once that host has refused the request.
    std::vector<PrefillHelper> helpers;       ///< Engines that prefill parts of the prompt.
    bool isPrompt = false;
    TimePoint sentAt;
    Duration predictedLatency = Duration::zero(); ///< Expected time to the first event or response.
    TimePoint lastDataAt;                         ///< When response bytes were last received.
    int status = 0;                               ///< 0 until the response head is received.
    HttpHeaders headers;
    ResponseMetadata metadata;
    std::uint64_t bodyBytes = 0;   ///< Bytes of the response body received so far.
    std::string unforwardedBody;   ///< Response bytes received but not forwarded yet.
    std::size_t heldBytes = 0;     ///< Bytes counted in ForwardController::totalHeldBytes.
    bool exceededLimit = false;    ///< The response was cut off because it is too large.
    bool reusedConnection = false; ///< The connection that failed had served requests before.
    EventStreamSplitter splitter;
    bool firstEventReceived = false;
    TimePoint firstEventAt;
    TimePoint lastEventAt;     ///< When an event, other than a comment, was last complete.
    bool sentNewEvent = false; ///< An event, other than a comment, was passed on.
    /// Id of the last event that was dropped since the caller has it from an earlier attempt.
    std::optional<std::uint64_t> lastRepeatedEventId;
    bool provedSound = false;    ///< The response went on for a while after its first event.
    PromptUpdate dispatchUpdate; ///< What the other hosts were told; prompts only.

    /// Returns true if another host brings the request to a server.
    bool isRelayed() const { return !this->relayHost.empty(); }

    /// Returns true if the response carries the server's body, unchanged.
    bool hasGenuineBody() const
    {
        return this->metadata.isSigned && !this->metadata.hasContentEncoding;
    }

    /// Returns true if no byte of the response body will be used.
    bool isDiscarded() const;
};

/// A retry that waits until the hosts of the fleet have lent enough of their budgets.
struct AwaitedRetry
{
    RetryReason reason = RetryReason::ServerFailed;
    TimePoint since;
};

/// One caller request, from its arrival to the end of its response.
struct ForwardCall
{
    HttpCallId id = 0;
    HttpMessageHead head;
    std::shared_ptr<const std::string> body;
    RequestMetadata metadata;
    std::shared_ptr<const GatewayConfiguration> configuration; ///< Owns the route.
    const Route *route = nullptr;
    std::optional<RelayEnvelope> relay; ///< Set if the request came from another host.
    std::set<HostId> triedHosts;        ///< To which the request was handed.
    std::size_t pathFailures = 0;       ///< Signs that this host reaches no server of the pool.
    std::string pool;                   ///< Chosen for the first attempt and kept for retries.
    std::string workspace;
    int priority = 0; ///< Of the workspace if it has one, else of the route; lower is more urgent.
    std::string fingerprint;           ///< Computed on first use.
    std::vector<std::string> partKeys; ///< See PromptPartGuard::keys(); computed on first use.
    TimePoint arrivedAt;
    TimePoint deadline;
    double fairnessDraw = 1.0;          ///< See PromptDemand.
    PromptDemand demand;                ///< Computed at the latest dispatch of a prompt.
    std::size_t attemptsSent = 0;       ///< Attempts that reached a server; limited by the route.
    bool mayHaveRun = false;            ///< At least one attempt may have been executed.
    std::size_t connectionFailures = 0; ///< Failed connects and connections lost at once.
    std::set<ServerId> triedServers;    ///< Avoided by retries where possible.
    /// Server whose reused connection was lost at once; empty if there is none.
    ServerId unverifiedServer;
    std::optional<ForwardAttempt> attempt;
    std::optional<TimePoint> heldUntil;       ///< When the placement of a held prompt is repeated.
    Duration heldTime = Duration::zero();     ///< Total time that the prompt was held.
    std::optional<AwaitedRetry> awaitedRetry; ///< Set while heldUntil is its next round.
    std::optional<PromptPlan> pendingPlan;    ///< Plan that waits for its memory reservations.
    std::vector<MemoryReservation> reservations;
    std::size_t reservationRounds = 0; ///< Plans that failed for lack of memory.
    TimePoint reservedAt;              ///< When the memory of the plan in force was asked for.
    TimePoint reservationsDue; ///< Next renewal, or the grant timeout while a plan is pending.
    bool responseStarted = false;
    Duration timeToFirstEvent = Duration::zero(); ///< Since arrival; 0 until it is received.
    Duration longestEventGap = Duration::zero();  ///< Between two forwarded events.
    TimePoint lastEventAt;                        ///< When the last event was forwarded.
    std::optional<std::uint64_t> lastEventId;     ///< Id of the last forwarded event.
    bool readingPaused = false;                   ///< Reading the response waits for a slow caller.

    /// Returns the id of the memory reserved on \a server; empty if there is none.
    std::string reservationIdAt(const ServerId &server) const;
};

/// No attempt is made if less time than this is left until the deadline.
inline constexpr Duration MinAttemptTime = std::chrono::milliseconds(20);

/// Returns the gap between events after which callers abandon a stream of \a route.
Duration streamAbandonTime(const Route &route);

/// Estimates how long the caller waited before \a call; 0 if this is its first attempt.
Duration earlierWait(const ForwardCall &call);

} // namespace dotterel
