#pragma once

#include "core/identity.h"
#include "core/time.h"
#include "protocol/engine_memory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A server that may hold a part of a long prompt.
struct GroupCandidate
{
    ServerId server;
    std::uint64_t memoryTokens = 0;
};

/// The part of a long prompt that one server holds.
struct GroupPart
{
    ServerId server;
    AllocationId allocation; ///< Never reused, so that a late release affects no other allocation.
    std::uint64_t firstToken = 0;
    std::uint64_t tokens = 0;
};

/// The kinds of GroupAction.
enum class GroupActionKind {
    Reserve,  ///< Reserve memory for the part on its server.
    Prefill,  ///< Process the part's tokens, after importing the KV cache of the previous part.
    Generate, ///< Generate tokens on the server of the last part.
    Release,  ///< Release the part's memory; repeated until the server confirms it.
};

struct GroupAction
{
    GroupActionKind kind = GroupActionKind::Reserve;
    std::size_t part = 0;
};

/// The result of a group.
enum class GroupOutcome {
    Pending,
    Finished,
    MemoryUnavailable, ///< A server had too little free memory; nothing was executed.
    Failed,            ///< Another step failed, or the request was cancelled.
};

/// State machine that processes a prompt which is too large for the memory of one engine on several
/// engines. Either all parts are reserved or none: memory is reserved on one server at a time, in
/// the order of the server names, and the first refusal releases all reservations, so that two
/// groups cannot deadlock. After any failure, each part that may be reserved is released. Performs
/// no I/O and reads no clock: the owner executes the action of nextAction() and reports its result.
class MemoryGroup
{
public:
    /// Splits a prompt of \a tokens tokens among as few of \a candidates as possible and derives
    /// the allocation ids from \a attempt. Returns nothing if the candidates cannot hold the
    /// prompt.
    static std::optional<MemoryGroup> create(const AttemptId &attempt, std::uint64_t tokens,
                                             std::vector<GroupCandidate> candidates);

    /// Returns the action to execute now, or nothing if there is none. Only one action may be in
    /// progress at a time.
    std::optional<GroupAction> nextAction() const;

    /// Called when the last action of nextAction() succeeded.
    void onActionSucceeded();

    /// Called when the last action of nextAction() failed. \a refused is true if the server
    /// reported that it did nothing; otherwise, for example after a lost response, it may have
    /// executed the action.
    void onActionFailed(bool refused);

    /// Called when the request was cancelled or its deadline expired.
    void cancel();

    GroupOutcome outcome() const { return this->groupOutcome; }

    /// Returns true if the outcome is decided and no part can be reserved any more.
    bool isFullyReleased() const;

    const std::vector<GroupPart> &parts() const { return this->groupParts; }

private:
    enum class Reservation {
        None,
        PossiblyReserved, ///< Reserved, or the server may have reserved it.
    };

    MemoryGroup() = default;
    std::optional<std::size_t> findReserved() const;
    void setOutcome(GroupOutcome outcome);

    std::vector<GroupPart> groupParts; ///< Sorted by server name.
    std::vector<Reservation> reservations;
    GroupActionKind currentStep = GroupActionKind::Reserve;
    std::size_t currentPart = 0;
    GroupOutcome groupOutcome = GroupOutcome::Pending;
};

} // namespace dotterel
