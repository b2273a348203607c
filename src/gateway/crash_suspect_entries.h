#pragma once

#include "core/time.h"
#include "protocol/crash_notice.h"

#include <string>
#include <tl/expected.hpp>

namespace dotterel {

/// Returns the name of the store's entry for the suspect of \a notice.
std::string crashSuspectName(const CrashNotice &notice);

/// Returns the JSON entry that keeps \a notice in the platform's store. Crashes are stored with
/// their time of day, in milliseconds since the Unix epoch; \a now is the current one.
std::string encodeCrashSuspect(const CrashNotice &notice, WallMilliseconds now);

/// Parses an entry written by encodeCrashSuspect() under \a name. Crashes that lie after \a now, by
/// the difference of two clocks, get the age 0. Returns the reason if \a text is not a valid entry.
tl::expected<CrashNotice, std::string>
decodeCrashSuspect(const std::string &name, const std::string &text, WallMilliseconds now);

} // namespace dotterel
