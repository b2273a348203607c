#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "protocol/engine_memory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A server that may take a part of a long prompt.
struct GroupCandidate
{
    ServerId server;
    std::uint64_t memoryTokens = 0;
};

/// A server's part of a long prompt.
struct GroupPart
{
    ServerId server;
    AllocationId allocation; ///< Unique for ever, so that a late release hits nothing else.
    std::uint64_t firstToken = 0;
    std::uint64_t tokens = 0;
};

/// What a group wants done next.
enum class GroupActionKind {
    Reserve,  ///< Ask the part's server for its memory.
    Prefill,  ///< Process the part's tokens, after importing what the part before exported.
    Generate, ///< Generate on the last part's server.
    Release,  ///< Give the part's memory back; repeated until the server confirms it.
};

struct GroupAction
{
    GroupActionKind kind = GroupActionKind::Reserve;
    std::size_t part = 0;
};

/// How a group ended.
enum class GroupOutcome {
    Pending,
    Finished,
    MemoryUnavailable, ///< A server had too little free memory; nothing was run.
    Failed,            ///< A later step failed.
};

/// Memory of several engines for one prompt that is larger than one of them. All parts are reserved
/// or none: servers are asked in the order of their names, one at a time, and the first refusal
/// gives everything back at once, so two groups never wait for each other. Whatever fails, each
/// part that may be held is released. Pure: the owner carries out next() and reports what came of
/// it.
class MemoryGroup
{
public:
    /// Divides a prompt of \a tokens among \a candidates, the largest first, and names the
    /// allocations after \a attempt. None if they cannot hold it.
    static std::optional<MemoryGroup> form(const AttemptId &attempt, std::uint64_t tokens,
                                           std::vector<GroupCandidate> candidates);

    /// Returns what is to be done now; one action is under way at a time. None if nothing is.
    std::optional<GroupAction> next() const;

    /// The last action of next() succeeded.
    void onDone();

    /// The last action failed. A reservation or release whose answer was lost may have taken
    /// effect: \a refused says that the server certainly did nothing.
    void onFailed(bool refused);

    /// The request is given up: it was cancelled or its deadline passed.
    void abandon();

    GroupOutcome outcome() const { return this->result; }

    /// Returns true once no part can be held any more.
    bool settled() const;

    const std::vector<GroupPart> &parts() const { return this->members; }

private:
    enum class Hold {
        Free,
        Held, ///< Reserved, or perhaps so.
    };

    MemoryGroup() = default;
    std::optional<std::size_t> firstHeld() const;
    void end(GroupOutcome outcome);

    std::vector<GroupPart> members; ///< In the order of the servers' names.
    std::vector<Hold> holds;
    GroupActionKind step = GroupActionKind::Reserve;
    std::size_t position = 0;
    GroupOutcome result = GroupOutcome::Pending;
};

} // namespace dotterel
