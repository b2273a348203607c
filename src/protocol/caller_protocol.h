#pragma once

#include "core/identity.h"
#include "core/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace dotterel {

/// The fields of a `POST /v1/completions` body that an entry host uses for routing. The body itself
/// is forwarded unchanged.
struct CompletionRequest
{
    std::string model;
    bool stream = false;
    std::uint64_t promptTokens = 0;          ///< Estimated from the size of the prompt.
    std::uint64_t maxTokens = 0;             ///< 0 if the request sets no limit.
    std::vector<std::uint64_t> prefixHashes; ///< One per leading block of the prompt.
};

/// Parses a completion request. The error is a message that can be returned to the caller. May
/// reallocate \a body to add padding for the parser; its contents stay unchanged.
tl::expected<CompletionRequest, std::string> parseCompletionRequest(std::string &body);

/// Estimates the number of tokens in a prompt of \a promptBytes.
std::uint64_t estimateTokens(std::uint64_t promptBytes);

/// Returns \a failure as an `application/problem+json` document.
std::string problemDocument(const Failure &failure);

/// Returns \a delay as a `Retry-After` header value: whole seconds, rounded up, at least 1.
std::string retryAfterSeconds(Duration delay);

/// Returns a server-sent event that carries one chunk of a streamed completion.
std::string completionChunkEvent(const RequestId &request, const std::string &model,
                                 const std::string &text);

/// Returns the events that end a streamed completion: the finish reason and `[DONE]`.
std::string completionEndEvents(const RequestId &request, const std::string &model);

/// Returns the error event that ends a failed stream in place of `[DONE]`.
std::string completionErrorEvent(const Failure &failure);

/// Returns the response body of a completion that is not streamed.
std::string completionBody(const RequestId &request, const std::string &model,
                           const std::string &text, std::uint64_t promptTokens,
                           std::uint64_t completionTokens);

} // namespace dotterel
