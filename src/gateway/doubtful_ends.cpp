#include "gateway/doubtful_ends.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<DoubtfulEndKind>, 4> DoubtfulEndNames = {{
        {DoubtfulEndKind::LostAtOnce, "lost_at_once"},
        {DoubtfulEndKind::Silence, "silence"},
        {DoubtfulEndKind::GivenUp, "given_up"},
        {DoubtfulEndKind::EndedInOrder, "ended_in_order"},
}};

} // namespace

std::string_view doubtfulEndName(DoubtfulEndKind kind)
{
    return enumName(DoubtfulEndNames, kind);
}

DoubtfulEnds::DoubtfulEnds(const DoubtfulEndLimits &limits)
    : limits(limits)
{}

void DoubtfulEnds::add(DoubtfulEnd end)
{
    if (this->ends.size() >= this->limits.maxEntries)
        this->ends.pop_front();
    this->ends.push_back(std::move(end));
}

std::vector<DoubtfulEnds::Settled>
DoubtfulEnds::settle(const std::function<ServerTraces(const ServerId &)> &tracesOf, TimePoint now)
{
    std::vector<Settled> settled;
    for (auto end = this->ends.begin(); end != this->ends.end();) {
        const ServerTraces traces = tracesOf(end->server);
        const std::optional<bool> crashed = this->judge(*end, traces, now);
        if (!crashed) {
            ++end;
            continue;
        }
        const TimePoint runOutAt = end->endedAt + end->runOutTime;
        const TimePoint crashedAt = std::min(runOutAt, traces.disappearedAt.value_or(runOutAt));
        settled.push_back({std::move(*end), *crashed, crashedAt});
        end = this->ends.erase(end);
    }
    return settled;
}

void DoubtfulEnds::dismiss(std::string_view fingerprint)
{
    this->ends.remove_if(
            [fingerprint](const DoubtfulEnd &end) { return end.fingerprint == fingerprint; });
}

std::optional<bool> DoubtfulEnds::judge(const DoubtfulEnd &end, const ServerTraces &traces,
                                        TimePoint now) const
{
    const bool disappeared = traces.disappearedAt && *traces.disappearedAt >= end.since;
    // A server that restarted under its name may have sent something since.
    const bool livedOn =
            traces.lastSignOfLife
            && *traces.lastSignOfLife > end.endedAt + end.runOutTime + this->limits.transitTime
            && (!disappeared || *traces.lastSignOfLife < *traces.disappearedAt);
    const TimePoint limit = end.endedAt + this->limits.confirmationWindow;
    if (livedOn)
        return false;
    if (disappeared && *traces.disappearedAt <= limit)
        return true;
    if (now > limit)
        return false;
    return std::nullopt;
}

} // namespace dotterel
