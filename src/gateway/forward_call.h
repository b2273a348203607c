#pragma once

#include "gateway/event_stream_splitter.h"
#include "gateway/forward_effects.h"
#include "gateway/prompt_placement.h"
#include "gateway/route_table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

/// Memory of an engine that is reserved for a prompt.
struct MemoryTicket
{
    std::string id;
    ServerId server;
    std::uint64_t tokens = 0;
    bool granted = false;
};

/// One attempt at a backend server.
struct ForwardAttempt
{
    ForwardAttemptId id = 0;
    ServerId server;
    std::vector<PrefillHelper> helpers;
    bool isPrompt = false;
    TimePoint sent;
    Duration predicted = Duration::zero(); ///< Until its first event.
    TimePoint heard;                       ///< When bytes came last.
    int status = 0;                        ///< 0 until the head came.
    HttpHeaders headers;
    AnswerFacts facts;
    std::string body; ///< What of it was not passed on.
    EventStreamSplitter splitter;
    bool firstEvent = false;
};

/// One request of a caller, from its arrival to its final answer.
struct ForwardCall
{
    HttpCallId id = 0;
    HttpHead head;
    std::shared_ptr<const std::string> body;
    CallerFacts facts;
    std::shared_ptr<const GatewayConfiguration> configuration; ///< Keeps the route alive.
    const Route *route = nullptr;
    std::string pool; ///< Chosen with the first attempt.
    std::string workspace;
    std::string fingerprint; ///< Computed when it is needed first.
    TimePoint arrived;
    TimePoint deadline;
    PromptDemand demand;
    std::size_t sends = 0;     ///< Attempts whose servers saw something of them.
    bool mayHaveRun = false;   ///< One of them may have run.
    std::size_t unreached = 0; ///< Attempts that found no connection.
    std::set<ServerId> tried;
    std::optional<ForwardAttempt> attempt;
    std::optional<PromptPlan> reserving; ///< Waits for memory on its helpers.
    std::vector<MemoryTicket> tickets;
    TimePoint ticketsDue; ///< When they are renewed, or given up while they are asked for.
    bool answerBegun = false;
    Duration firstEvent = Duration::zero();   ///< From the arrival; 0 until it came.
    Duration longestPause = Duration::zero(); ///< Between two events that were passed on.
    TimePoint eventPassed;                    ///< When the last one was.
    std::optional<std::uint64_t> lastEvent;   ///< Id of the last event that was passed on.
    bool paused = false;                      ///< The caller does not take what was sent.
};

} // namespace dotterel
