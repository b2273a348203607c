#include "protocol/crash_notice_codec.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr std::size_t MaxFingerprintBytes = 64;
constexpr std::size_t MaxCrashes = 8;

Duration decodeDuration(const nlohmann::json &json)
{
    return Duration(std::max<Duration::rep>(0, json.get<Duration::rep>()));
}

/// Hosts of earlier versions send no weight.
std::size_t decodeCrashWeight(const nlohmann::json &crash)
{
    constexpr std::size_t MaxWeight = 8;
    return crash.size() < 3 ? 1
                            : std::clamp<std::size_t>(crash.at(2).get<std::size_t>(), 1, MaxWeight);
}

} // namespace

nlohmann::json encodeCrashNotice(const CrashNotice &notice)
{
    nlohmann::json crashes = nlohmann::json::array();
    for (const CrashRecord &crash : notice.crashes)
        crashes.push_back({crash.server, crash.age.count(), crash.weight});
    nlohmann::json json = {{"f", notice.fingerprint}, {"c", crashes}, {"r", notice.runningServer}};
    if (notice.sinceCompletion)
        json["x"] = notice.sinceCompletion->count();
    if (notice.subject == CrashSubject::PromptPart)
        json["p"] = true;
    return json;
}

CrashNotice decodeCrashNotice(const nlohmann::json &json)
{
    CrashNotice notice;
    notice.fingerprint = json.at("f").get<std::string>();
    if (notice.fingerprint.size() > MaxFingerprintBytes || json.at("c").size() > MaxCrashes)
        throw nlohmann::json::other_error::create(0, "fingerprint or crash list too long", &json);
    for (const nlohmann::json &item : json.at("c"))
        notice.crashes.push_back(
                {item.at(0).get<ServerId>(), decodeDuration(item.at(1)), decodeCrashWeight(item)});
    if (json.contains("p"))
        notice.subject = CrashSubject::PromptPart;
    if (json.contains("x"))
        notice.sinceCompletion = decodeDuration(json.at("x"));
    notice.runningServer = json.at("r").get<ServerId>();
    return notice;
}

} // namespace dotterel
