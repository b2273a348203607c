#include "gateway/refused_callers.h"

namespace dotterel {

namespace {

/// Callers return within a third of the time that they have left, which is less.
constexpr Duration MemoryTime = std::chrono::seconds(15);
constexpr std::size_t MaxRecords = 4'096;
/// By how much the deadline of a caller may differ between two attempts, for the time that a
/// connection, the messages and the notice of the refusal take.
constexpr Duration DeadlineTolerance = std::chrono::milliseconds(250);

} // namespace

void RefusedCallers::onRefused(const RefusedPromptNotice &notice, TimePoint now)
{
    while (!this->order.empty()
           && (this->order.size() >= MaxRecords || this->order.front().first + MemoryTime <= now))
        this->forgetOldest();
    this->refusals[notice.fingerprint] = {now, now - notice.waited, now + notice.timeLeft};
    this->order.emplace_back(now, notice.fingerprint);
}

std::optional<Duration> RefusedCallers::takeWait(std::uint64_t fingerprint, Duration timeLeft,
                                                 TimePoint now)
{
    const auto found = this->refusals.find(fingerprint);
    if (found == this->refusals.end())
        return std::nullopt;
    const Refusal refusal = found->second;
    const Duration difference = now + timeLeft - refusal.deadline;
    if (refusal.refusedAt + MemoryTime <= now || std::chrono::abs(difference) > DeadlineTolerance)
        return std::nullopt;
    this->refusals.erase(found);
    return now - refusal.firstSentAt;
}

void RefusedCallers::forgetOldest()
{
    const auto [refusedAt, fingerprint] = this->order.front();
    this->order.pop_front();
    const auto found = this->refusals.find(fingerprint);
    if (found != this->refusals.end() && found->second.refusedAt == refusedAt)
        this->refusals.erase(found);
}

} // namespace dotterel
