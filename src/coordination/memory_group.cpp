#include "coordination/memory_group.h"

#include <algorithm>

namespace dotterel {

std::optional<MemoryGroup> MemoryGroup::create(const AttemptId &attempt, std::uint64_t tokens,
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
        group.groupParts.push_back({candidate.server,
                                    attempt + ".part" + std::to_string(group.groupParts.size()),
                                    nextToken, partTokens});
        nextToken += partTokens;
    }
    group.reservations.resize(group.groupParts.size(), Reservation::None);
    return group;
}

std::optional<GroupAction> MemoryGroup::nextAction() const
{
    if (this->groupOutcome == GroupOutcome::Pending)
        return GroupAction{this->currentStep, this->currentPart};
    const std::optional<std::size_t> reservedPart = this->findReserved();
    if (!reservedPart)
        return std::nullopt;
    return GroupAction{GroupActionKind::Release, *reservedPart};
}

void MemoryGroup::onActionSucceeded()
{
    if (this->groupOutcome != GroupOutcome::Pending) {
        const std::optional<std::size_t> reservedPart = this->findReserved();
        if (reservedPart)
            this->reservations[*reservedPart] = Reservation::None;
        return;
    }
    if (this->currentStep == GroupActionKind::Reserve)
        this->reservations[this->currentPart] = Reservation::PossiblyReserved;
    if (this->currentStep == GroupActionKind::Generate) {
        this->setOutcome(GroupOutcome::Finished);
        return;
    }
    if (++this->currentPart < this->groupParts.size())
        return;
    const bool wasReserving = this->currentStep == GroupActionKind::Reserve;
    this->currentStep = wasReserving ? GroupActionKind::Prefill : GroupActionKind::Generate;
    this->currentPart = wasReserving ? 0 : this->groupParts.size() - 1;
}

void MemoryGroup::onActionFailed(bool refused)
{
    // A failed release is repeated; releasing is idempotent.
    if (this->groupOutcome != GroupOutcome::Pending)
        return;
    if (this->currentStep == GroupActionKind::Reserve && !refused)
        this->reservations[this->currentPart] = Reservation::PossiblyReserved;
    const bool memoryUnavailable = this->currentStep == GroupActionKind::Reserve && refused;
    this->setOutcome(memoryUnavailable ? GroupOutcome::MemoryUnavailable : GroupOutcome::Failed);
}

void MemoryGroup::cancel()
{
    if (this->groupOutcome != GroupOutcome::Pending)
        return;
    // The reservation in progress may still take effect.
    if (this->currentStep == GroupActionKind::Reserve)
        this->reservations[this->currentPart] = Reservation::PossiblyReserved;
    this->setOutcome(GroupOutcome::Failed);
}

bool MemoryGroup::isFullyReleased() const
{
    return this->groupOutcome != GroupOutcome::Pending && !this->findReserved();
}

std::optional<std::size_t> MemoryGroup::findReserved() const
{
    const auto reservedPart = std::find(this->reservations.begin(), this->reservations.end(),
                                        Reservation::PossiblyReserved);
    if (reservedPart == this->reservations.end())
        return std::nullopt;
    return static_cast<std::size_t>(reservedPart - this->reservations.begin());
}

void MemoryGroup::setOutcome(GroupOutcome outcome)
{
    this->groupOutcome = outcome;
}

} // namespace dotterel
