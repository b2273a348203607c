#pragma once

#include "core/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace dotterel {

/// One token of an engine's answer.
struct AnswerToken
{
    AttemptId attempt; ///< Echoed by the engine.
    std::uint64_t index = 0;
    std::string text;
};

/// The explicit end of an engine's answer.
struct AnswerEnd
{
    AttemptId attempt;       ///< Echoed by the engine.
    std::uint64_t count = 0; ///< Number of tokens in the whole answer.
};

using EngineEvent = std::variant<AnswerToken, AnswerEnd>;

/// Decodes the server-sent events of an engine, in whatever pieces they arrive:
/// `data: {"attempt":A,"index":I,"text":T}` for a token and
/// `data: {"attempt":A,"end":true,"count":N}` for the end.
class EngineStreamDecoder
{
public:
    /// Takes \a bytes and returns the events that they complete. An error says what was
    /// malformed; the decoder must not be used after it.
    tl::expected<std::vector<EngineEvent>, std::string> feed(std::string_view bytes);

private:
    std::string pending;
};

/// Encodes \a event as the engine protocol sends it.
std::string encodeEngineEvent(const EngineEvent &event);

} // namespace dotterel
