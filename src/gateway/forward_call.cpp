#include "gateway/forward_call.h"

#include "gateway/response_status.h"

namespace dotterel {

bool ForwardAttempt::isDiscarded() const
{
    return this->metadata.notRun || this->metadata.isWrongServer || impliesNotRun(this->status)
           || (isSuccess(this->status) && !this->hasGenuineBody());
}

} // namespace dotterel
