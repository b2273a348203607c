#pragma once

#include "coordination/placement.h"

#include <string>
#include <tl/expected.hpp>

namespace dotterel {

/// Reads the JSON that a model engine answers to `GET /v1/load`: `queued_prompt_tokens` and, where
/// the engine gives them, `queued_by_band`, `running_streams`, `memory_tokens_used`, `draining`.
tl::expected<LoadReport, std::string> parseLoadReport(const std::string &body);

} // namespace dotterel
