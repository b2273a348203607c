#pragma once

#include "protocol/crash_notice.h"

#include <nlohmann/json.hpp>

namespace dotterel {

/// Encodes \a notice as the fields of a peer message.
nlohmann::json encodeCrashNotice(const CrashNotice &notice);

/// Decodes the output of encodeCrashNotice(). Throws nlohmann::json::exception if it is malformed
/// or too large.
CrashNotice decodeCrashNotice(const nlohmann::json &json);

} // namespace dotterel
