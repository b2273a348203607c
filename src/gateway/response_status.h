#pragma once

namespace dotterel {

/// Returns true for 2xx.
bool isSuccess(int status);

/// Returns true for 5xx.
bool isServerError(int status);

/// Returns true for a status from which callers conclude that their request has not run. Only the
/// server can guarantee this, by ResponseMetadata::notRun; without it the status is not forwarded.
bool impliesNotRun(int status);

} // namespace dotterel
