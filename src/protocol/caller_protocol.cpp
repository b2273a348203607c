#include "protocol/caller_protocol.h"

#include "core/hashing.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::size_t PrefixBlockBytes = 4'096;
constexpr std::size_t MostPrefixBlocks = 64;

std::string dumped(const nlohmann::ordered_json &json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string event(const std::string &data)
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

/// Each hash covers the prompt from its start, so that equal hashes mean equal prefixes.
std::vector<std::uint64_t> hashPrefixes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + PrefixBlockBytes <= prompt.size(); at += PrefixBlockBytes) {
        if (hashes.size() == MostPrefixBlocks)
            break;
        previous = hash64(toHex(previous) + std::string(prompt.substr(at, PrefixBlockBytes)));
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace

tl::expected<CompletionRequest, std::string> parseCompletionRequest(std::string_view body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return tl::unexpected(std::string("the body must be a JSON object"));
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return tl::unexpected(std::string("\"model\" must be a string"));
    const auto prompt = json.find("prompt");
    if (prompt == json.end() || !prompt->is_string())
        return tl::unexpected(std::string("\"prompt\" must be a string"));
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean())
        return tl::unexpected(std::string("\"stream\" must be true or false"));
    const auto maxTokens = json.find("max_tokens");
    if (maxTokens != json.end() && !maxTokens->is_number_unsigned())
        return tl::unexpected(std::string("\"max_tokens\" must be a whole number"));

    const std::string &text = prompt->get_ref<const std::string &>();
    CompletionRequest request;
    request.model = model->get<std::string>();
    request.stream = stream != json.end() && stream->get<bool>();
    request.promptTokens = estimateTokens(text.size());
    request.maxTokens = maxTokens == json.end() ? 0 : maxTokens->get<std::uint64_t>();
    request.prefixHashes = hashPrefixes(text);
    return request;
}

std::uint64_t estimateTokens(std::uint64_t promptBytes)
{
    return std::max<std::uint64_t>(1, promptBytes / BytesPerToken);
}

std::string problemDocument(const Failure &failure)
{
    return dumped(problemJson(failure));
}

std::string retryAfterSeconds(Duration delay)
{
    const std::int64_t seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
    return std::to_string(std::max<std::int64_t>(1, seconds));
}

std::string completionChunk(const RequestId &request, const std::string &model,
                            const std::string &text)
{
    return event(dumped(completionJson(request, model, text, nullptr)));
}

std::string completionEnd(const RequestId &request, const std::string &model)
{
    return event(dumped(completionJson(request, model, "", "stop"))) + event("[DONE]");
}

std::string completionError(const Failure &failure)
{
    return "event: error\n" + event(dumped(problemJson(failure)));
}

std::string completionDocument(const RequestId &request, const std::string &model,
                               const std::string &text, std::uint64_t promptTokens,
                               std::uint64_t completionTokens)
{
    nlohmann::ordered_json json = completionJson(request, model, text, "stop");
    json["usage"] = {{"prompt_tokens", promptTokens},
                     {"completion_tokens", completionTokens},
                     {"total_tokens", promptTokens + completionTokens}};
    return dumped(json);
}

} // namespace dotterel
