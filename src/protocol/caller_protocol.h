#pragma once

#include "core/identity.h"
#include "core/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// What an entry host needs to know of a `POST /v1/completions` body; the body itself is passed on
/// unchanged.
struct CompletionRequest
{
    std::string model;
    bool stream = false;
    std::uint64_t promptTokens = 0;          ///< Estimated from the bytes of the prompt.
    std::uint64_t maxTokens = 0;             ///< 0 if the caller set no limit.
    std::vector<std::uint64_t> prefixHashes; ///< One for each leading block of the prompt.
};

/// Reads a completion request; the error is a sentence for the caller. Grows the capacity of
/// \a body but leaves its bytes as they are.
tl::expected<CompletionRequest, std::string> parseCompletionRequest(std::string &body);

/// Returns the number of tokens to expect of \a promptBytes.
std::uint64_t estimateTokens(std::uint64_t promptBytes);

/// Returns \a failure as an `application/problem+json` document.
std::string problemDocument(const Failure &failure);

/// Returns the value for a `Retry-After` header: whole seconds, rounded up, at least 1.
std::string retryAfterSeconds(Duration delay);

/// Returns one server-sent event with a piece of a completion.
std::string completionChunk(const RequestId &request, const std::string &model,
                            const std::string &text);

/// Returns the last events of a completion: the finish reason and the explicit end.
std::string completionEnd(const RequestId &request, const std::string &model);

/// Returns the event that ends a stream with a failure instead of its explicit end.
std::string completionError(const Failure &failure);

/// Returns a whole completion that was not streamed.
std::string completionDocument(const RequestId &request, const std::string &model,
                               const std::string &text, std::uint64_t promptTokens,
                               std::uint64_t completionTokens);

} // namespace dotterel
