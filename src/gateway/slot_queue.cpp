#include "gateway/slot_queue.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Weight of the latest answer in the mean answer time.
constexpr double LatestAnswerWeight = 0.02;

} // namespace

void SlotQueue::onAnswered(Duration answerTime)
{
    if (this->meanAnswerTime == Duration::zero()) {
        this->meanAnswerTime = answerTime;
        return;
    }
    this->meanAnswerTime +=
            fromSeconds(toSeconds(answerTime - this->meanAnswerTime) * LatestAnswerWeight);
}

Duration SlotQueue::wait(const EngineProfile &engine, std::uint64_t outputTokens,
                         std::size_t prompts) const
{
    if (prompts < engine.slots)
        return Duration::zero();
    // Until the first answer ends, answers count as long as they may get.
    constexpr double MsPerSecond = 1'000.0;
    const double answerSeconds =
            this->meanAnswerTime > Duration::zero()
                    ? toSeconds(this->meanAnswerTime)
                    : static_cast<double>(outputTokens) * engine.baseStepMs / MsPerSecond;
    const std::size_t slots = std::max<std::size_t>(1, engine.slots);
    return fromSeconds(answerSeconds * static_cast<double>(prompts + 1 - slots)
                       / static_cast<double>(slots));
}

} // namespace dotterel
