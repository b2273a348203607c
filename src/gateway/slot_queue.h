#pragma once

#include "core/time.h"
#include "gateway/gateway_configuration.h"

#include <cstddef>
#include <cstdint>

namespace dotterel {

/// Predicts how long a prompt waits for a slot of an engine. Slots are given in order of arrival,
/// and one gets free every mean answer time divided by the slots. The mean answer time is learned
/// from the prompts that ended, since callers state only an upper bound of their answers. Answers
/// load that fills most slots of all engines, where a prompt over the slots of its engine misses a
/// target that it would have met elsewhere. Performs no I/O.
class SlotQueue
{
public:
    /// Records that a prompt held a slot for \a answerTime after its first event.
    void onAnswered(Duration answerTime);

    /// Returns the expected wait of a further prompt of \a outputTokens on an engine that is known
    /// to hold \a prompts.
    Duration wait(const EngineProfile &engine, std::uint64_t outputTokens,
                  std::size_t prompts) const;

private:
    Duration meanAnswerTime = Duration::zero();
};

} // namespace dotterel
