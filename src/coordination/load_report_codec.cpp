#include "coordination/load_report_codec.h"

#include "core/json_input.h"
#include <nlohmann/json.hpp>

namespace dotterel {

tl::expected<LoadReport, std::string> parseLoadReport(const std::string &body)
{
    const nlohmann::json json = parseJsonOrDiscard(body);
    if (!json.is_object())
        return tl::unexpected(std::string("the load report is not a JSON object"));
    try {
        LoadReport report;
        report.queuedPromptTokens = toUnsigned<std::uint64_t>(json.at("queued_prompt_tokens"));
        report.queuedByBand = json.value("queued_by_band", report.queuedByBand);
        report.runningStreams = json.value("running_streams", report.runningStreams);
        report.memoryTokensUsed = json.value("memory_tokens_used", report.memoryTokensUsed);
        report.draining = json.value("draining", false);
        return report;
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
