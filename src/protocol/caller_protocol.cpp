#include "protocol/caller_protocol.h"

#include "core/hashing.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <simdjson.h>

namespace dotterel {

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::size_t PrefixBlockBytes = 4'096;
constexpr std::size_t MaxPrefixBlocks = 64;

std::string serializeJson(const nlohmann::ordered_json &json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string serverSentEvent(const std::string &data)
{
    return "data: " + data + "\n\n";
}

nlohmann::ordered_json problemJson(const Failure &failure)
{
    const ReasonInfo &info = reasonInfo(failure.reason);
    nlohmann::ordered_json json;
    json["type"] = "urn:dotterelfield:problem:" + std::string(info.name);
    json["title"] = info.name;
    json["status"] = info.httpStatus;
    json["detail"] = failure.detail;
    json["reason"] = info.name;
    json["verdict"] = verdictName(failure.verdict);
    if (failure.retryAfter)
        json["retry_after_s"] = std::stoll(retryAfterSeconds(*failure.retryAfter));
    return json;
}

nlohmann::ordered_json completionJson(const RequestId &request, const std::string &model,
                                      const std::string &text, const char *finishReason)
{
    nlohmann::ordered_json choice;
    choice["index"] = 0;
    choice["text"] = text;
    choice["finish_reason"] = nullptr;
    if (finishReason != nullptr)
        choice["finish_reason"] = finishReason;
    nlohmann::ordered_json json;
    json["id"] = request;
    json["object"] = "text_completion";
    json["model"] = model;
    json["choices"] = nlohmann::ordered_json::array({choice});
    return json;
}

/// Returns a chained hash per full block: each one covers the prompt from its start, so equal
/// hashes mean equal prefixes.
std::vector<std::uint64_t> hashPrefixes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chainedHash = 0;
    for (std::size_t offset = 0; offset + PrefixBlockBytes <= prompt.size();
         offset += PrefixBlockBytes) {
        if (hashes.size() == MaxPrefixBlocks)
            break;
        chainedHash =
                hash64(toHex(chainedHash) + std::string(prompt.substr(offset, PrefixBlockBytes)));
        hashes.push_back(chainedHash);
    }
    return hashes;
}

/// A partly parsed completion request, and which of its required fields are present.
struct ParsedCompletion
{
    CompletionRequest request;
    bool hasModel = false;
    bool hasPrompt = false;
};

/// Stores one field of the body in \a fields. Returns an error message for the caller if the field
/// is invalid.
std::optional<std::string> parseField(simdjson::simdjson_result<simdjson::ondemand::field> &field,
                                      ParsedCompletion &parsed)
{
    std::string_view key;
    simdjson::ondemand::value value;
    if (field.unescaped_key().get(key) != simdjson::SUCCESS
        || field.value().get(value) != simdjson::SUCCESS)
        return "the body must be a JSON object";
    CompletionRequest &request = parsed.request;
    std::string_view text;
    if (key == "model") {
        if (value.get_string().get(text) != simdjson::SUCCESS)
            return "\"model\" must be a string";
        request.model = std::string(text);
        parsed.hasModel = true;
    } else if (key == "prompt") {
        if (value.get_string().get(text) != simdjson::SUCCESS)
            return "\"prompt\" must be a string";
        request.promptTokens = estimateTokens(text.size());
        request.prefixHashes = hashPrefixes(text);
        parsed.hasPrompt = true;
    } else if (key == "stream") {
        if (value.get_bool().get(request.stream) != simdjson::SUCCESS)
            return "\"stream\" must be true or false";
    } else if (key == "max_tokens") {
        if (value.get_uint64().get(request.maxTokens) != simdjson::SUCCESS)
            return "\"max_tokens\" must be a non-negative integer";
    }
    return std::nullopt;
}

} // namespace

tl::expected<CompletionRequest, std::string> parseCompletionRequest(std::string &body)
{
    // simdjson reads up to SIMDJSON_PADDING bytes past the end of its input.
    body.reserve(body.size() + simdjson::SIMDJSON_PADDING);
    simdjson::ondemand::parser parser;
    simdjson::ondemand::document document;
    const simdjson::padded_string_view paddedBody(body.data(), body.size(), body.capacity());
    simdjson::ondemand::object object;
    if (parser.iterate(paddedBody).get(document) != simdjson::SUCCESS
        || document.get_object().get(object) != simdjson::SUCCESS)
        return tl::unexpected(std::string("the body must be a JSON object"));
    ParsedCompletion parsed;
    for (simdjson::simdjson_result<simdjson::ondemand::field> field : object) {
        const std::optional<std::string> error = parseField(field, parsed);
        if (error)
            return tl::unexpected(*error);
    }
    if (document.current_location().error() != simdjson::OUT_OF_BOUNDS)
        return tl::unexpected(
                std::string("the body must be a single JSON object with no data after it"));
    if (!parsed.hasModel)
        return tl::unexpected(std::string("\"model\" must be a string"));
    if (!parsed.hasPrompt)
        return tl::unexpected(std::string("\"prompt\" must be a string"));
    return parsed.request;
}

std::uint64_t estimateTokens(std::uint64_t promptBytes)
{
    return std::max<std::uint64_t>(1, promptBytes / BytesPerToken);
}

std::string problemDocument(const Failure &failure)
{
    return serializeJson(problemJson(failure));
}

std::string retryAfterSeconds(Duration delay)
{
    const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
    return std::to_string(std::max<std::int64_t>(1, seconds));
}

std::string completionChunkEvent(const RequestId &request, const std::string &model,
                                 const std::string &text)
{
    return serverSentEvent(serializeJson(completionJson(request, model, text, nullptr)));
}

std::string completionEndEvents(const RequestId &request, const std::string &model)
{
    return serverSentEvent(serializeJson(completionJson(request, model, "", "stop")))
           + serverSentEvent("[DONE]");
}

std::string completionErrorEvent(const Failure &failure)
{
    return "event: error\n" + serverSentEvent(serializeJson(problemJson(failure)));
}

std::string completionBody(const RequestId &request, const std::string &model,
                           const std::string &text, std::uint64_t promptTokens,
                           std::uint64_t completionTokens)
{
    nlohmann::ordered_json json = completionJson(request, model, text, "stop");
    json["usage"] = {{"prompt_tokens", promptTokens},
                     {"completion_tokens", completionTokens},
                     {"total_tokens", promptTokens + completionTokens}};
    return serializeJson(json);
}

} // namespace dotterel
