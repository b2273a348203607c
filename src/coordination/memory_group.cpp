#include "coordination/memory_group.h"

#include <algorithm>

namespace dotterel {

std::optional<MemoryGroup> MemoryGroup::form(const AttemptId &attempt, std::uint64_t tokens,
                                             std::vector<GroupCandidate> candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const GroupCandidate &left, const GroupCandidate &right) {
                         return left.memoryTokens > right.memoryTokens;
                     });
    std::uint64_t capacity = 0;
    std::size_t usedCount = 0;
    while (usedCount < candidates.size() && capacity < tokens)
        capacity += candidates[usedCount++].memoryTokens;
    if (tokens == 0 || capacity < tokens)
        return std::nullopt;
    candidates.resize(usedCount);
    std::sort(candidates.begin(), candidates.end(),
              [](const GroupCandidate &left, const GroupCandidate &right) {
                  return left.server < right.server;
              });
    MemoryGroup group;
    std::uint64_t nextToken = 0;
    for (const GroupCandidate &candidate : candidates) {
        const std::uint64_t partTokens = std::min(candidate.memoryTokens, tokens - nextToken);
        group.members.push_back({candidate.server,
                                 attempt + ".part" + std::to_string(group.members.size()),
                                 nextToken, partTokens});
        nextToken += partTokens;
    }
    group.holds.resize(group.members.size(), Hold::Free);
    return group;
}

std::optional<GroupAction> MemoryGroup::next() const
{
    if (this->result == GroupOutcome::Pending)
        return GroupAction{this->step, this->position};
    const std::optional<std::size_t> heldPart = this->firstHeld();
    if (!heldPart)
        return std::nullopt;
    return GroupAction{GroupActionKind::Release, *heldPart};
}

void MemoryGroup::onDone()
{
    if (this->result != GroupOutcome::Pending) {
        const std::optional<std::size_t> heldPart = this->firstHeld();
        if (heldPart)
            this->holds[*heldPart] = Hold::Free;
        return;
    }
    if (this->step == GroupActionKind::Reserve)
        this->holds[this->position] = Hold::Held;
    if (this->step == GroupActionKind::Generate) {
        this->end(GroupOutcome::Finished);
        return;
    }
    if (++this->position < this->members.size())
        return;
    const bool wasReserving = this->step == GroupActionKind::Reserve;
    this->step = wasReserving ? GroupActionKind::Prefill : GroupActionKind::Generate;
    this->position = wasReserving ? 0 : this->members.size() - 1;
}

void MemoryGroup::onFailed(bool refused)
{
    // A failed release is repeated; releasing is idempotent.
    if (this->result != GroupOutcome::Pending)
        return;
    if (this->step == GroupActionKind::Reserve && !refused)
        this->holds[this->position] = Hold::Held;
    const bool memoryUnavailable = this->step == GroupActionKind::Reserve && refused;
    this->end(memoryUnavailable ? GroupOutcome::MemoryUnavailable : GroupOutcome::Failed);
}

void MemoryGroup::abandon()
{
    if (this->result != GroupOutcome::Pending)
        return;
    // The reservation in progress may still take effect.
    if (this->step == GroupActionKind::Reserve)
        this->holds[this->position] = Hold::Held;
    this->end(GroupOutcome::Failed);
}

bool MemoryGroup::settled() const
{
    return this->result != GroupOutcome::Pending && !this->firstHeld();
}

std::optional<std::size_t> MemoryGroup::firstHeld() const
{
    const auto heldPart = std::find(this->holds.begin(), this->holds.end(), Hold::Held);
    if (heldPart == this->holds.end())
        return std::nullopt;
    return static_cast<std::size_t>(heldPart - this->holds.begin());
}

void MemoryGroup::end(GroupOutcome outcome)
{
    this->result = outcome;
}

} // namespace dotterel
