#pragma once

#include "core/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace dotterel {

/// One token of an engine's response stream.
struct AnswerToken
{
    AttemptId attempt; ///< Echoed by the engine.
    std::uint64_t index = 0;
    std::string text;
};

/// The end marker of an engine's response stream.
struct AnswerEnd
{
    AttemptId attempt;       ///< Echoed by the engine.
    std::uint64_t count = 0; ///< Number of tokens in the complete response.
};

using EngineEvent = std::variant<AnswerToken, AnswerEnd>;

/// Incremental decoder for the server-sent events of an engine:
/// `data: {"attempt":A,"index":I,"text":T}` for a token and
/// `data: {"attempt":A,"end":true,"count":N}` for the end.
class EngineStreamDecoder
{
public:
    /// Appends \a bytes, which may end within an event, and returns the events that are now
    /// complete. The error describes what is malformed; the decoder must not be used after it.
    tl::expected<std::vector<EngineEvent>, std::string> feed(std::string_view bytes);

private:
    std::string buffer;
};

/// Returns \a event as a server-sent event of the engine protocol.
std::string encodeEngineEvent(const EngineEvent &event);

} // namespace dotterel
