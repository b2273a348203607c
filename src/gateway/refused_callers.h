#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace dotterel {

/// News that the sending host refused a prompt that has not run.
struct RefusedPromptNotice
{
    std::uint64_t fingerprint = 0;        ///< Of workspace, target and body.
    Duration waited = Duration::zero();   ///< Since the caller's first attempt.
    Duration timeLeft = Duration::zero(); ///< Until the caller's deadline.
};

/// Remembers the prompts that any host refused, so that a host knows a caller that returns and
/// since when it waits. Answers load beyond the engines' room: a refused caller returns within a
/// fraction of a second, usually to another host and with a timeout that hardly differs from that
/// of a first attempt; taken for a new one, it is refused again and lost. Performs no I/O.
class RefusedCallers
{
public:
    /// Records that a host refused a prompt.
    void onRefused(const RefusedPromptNotice &notice, TimePoint now);

    /// Returns how long the caller of a prompt that arrived at \a now, with \a timeLeft until its
    /// deadline, has waited since its first attempt, and forgets its refusal; nullopt if none is
    /// known. The deadline tells it from another caller with the same text.
    std::optional<Duration> takeWait(std::uint64_t fingerprint, Duration timeLeft, TimePoint now);

    bool empty() const { return this->refusals.empty(); }

    /// Number of records that are kept.
    std::size_t size() const { return this->order.size(); }

private:
    struct Refusal
    {
        TimePoint refusedAt;
        TimePoint firstSentAt;
        TimePoint deadline;
    };

    void forgetOldest();

    std::unordered_map<std::uint64_t, Refusal> refusals;
    /// Oldest first. A record whose time differs from that of the refusal is void.
    std::deque<std::pair<TimePoint, std::uint64_t>> order;
};

} // namespace dotterel
