#pragma once

#include "coordination/placement.h"

#include <string>
#include <tl/expected.hpp>

namespace dotterel {

/// Parses the JSON response of a model engine to `GET /v1/load`. `queued_prompt_tokens` is
/// required; `queued_by_band`, `running_streams`, `memory_tokens_used` and `draining` are optional.
tl::expected<LoadReport, std::string> parseLoadReport(const std::string &body);

} // namespace dotterel
