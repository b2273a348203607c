#include "gateway/crash_suspect_entries.h"

#include "core/json_input.h"

#include <algorithm>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxFingerprintBytes = 64;
constexpr std::size_t MaxServerIdBytes = 256;
constexpr std::size_t MaxCrashes = 8;
constexpr IntegerRange WeightRange = {1, 8};
/// The last millisecond of the year 9999.
constexpr IntegerRange WallTimeRange = {0, 253'402'300'799'999};

WallMilliseconds wallTimeOf(Duration age, WallMilliseconds now)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return std::max<WallMilliseconds>(0, now - milliseconds);
}

Duration ageOf(std::uint64_t wallTime, WallMilliseconds now)
{
    const WallMilliseconds age = now - static_cast<WallMilliseconds>(wallTime);
    return std::chrono::milliseconds(std::max<WallMilliseconds>(0, age));
}

/// Returns the string \a name of \a object; throws nlohmann::json::exception if it is missing,
/// empty or longer than \a maxBytes.
std::string requireText(const Json &object, const char *name, std::size_t maxBytes)
{
    std::string text = object.at(name).get<std::string>();
    if (text.empty() || text.size() > maxBytes)
        throw Json::other_error::create(501, std::string(name) + " is empty or too long", &object);
    return text;
}

CrashSubject subjectOf(const Json &entry)
{
    const std::string name = entry.at("subject").get<std::string>();
    for (const CrashSubject subject : {CrashSubject::Request, CrashSubject::PromptPart}) {
        if (name == crashSubjectName(subject))
            return subject;
    }
    throw Json::other_error::create(501, "unknown subject", &entry);
}

} // namespace

std::string crashSuspectName(const CrashNotice &notice)
{
    return std::string(crashSubjectName(notice.subject)) + "-" + notice.fingerprint;
}

std::string encodeCrashSuspect(const CrashNotice &notice, WallMilliseconds now)
{
    Json crashes = Json::array();
    for (const CrashRecord &crash : notice.crashes)
        crashes.push_back({{"server", crash.server},
                           {"at_ms", wallTimeOf(crash.age, now)},
                           {"weight", crash.weight}});
    Json entry = {{"subject", crashSubjectName(notice.subject)},
                  {"fingerprint", notice.fingerprint},
                  {"crashes", crashes}};
    if (notice.sinceCompletion)
        entry["completed_at_ms"] = wallTimeOf(*notice.sinceCompletion, now);
    return entry.dump();
}

tl::expected<CrashNotice, std::string>
decodeCrashSuspect(const std::string &name, const std::string &text, WallMilliseconds now)
{
    const auto entry = parseJson(text);
    if (!entry)
        return tl::unexpected(entry.error());
    try {
        CrashNotice notice;
        notice.subject = subjectOf(*entry);
        notice.fingerprint = requireText(*entry, "fingerprint", MaxFingerprintBytes);
        if (crashSuspectName(notice) != name)
            return tl::unexpected(std::string("the name is that of another suspect"));
        const Json &crashes = entry->at("crashes");
        if (!crashes.is_array() || crashes.size() > MaxCrashes)
            return tl::unexpected(std::string("crashes is no list, or too long"));
        for (const Json &crash : crashes)
            notice.crashes.push_back(
                    {requireText(crash, "server", MaxServerIdBytes),
                     ageOf(requireInteger(crash, "at_ms", WallTimeRange), now),
                     static_cast<std::size_t>(requireInteger(crash, "weight", WeightRange))});
        if (entry->contains("completed_at_ms"))
            notice.sinceCompletion =
                    ageOf(requireInteger(*entry, "completed_at_ms", WallTimeRange), now);
        return notice;
    } catch (const Json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
