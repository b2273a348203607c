#include "gateway/server_pace.h"

#include "core/enum_names.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<PaceReason>, 2> PaceReasonNames = {{
        {PaceReason::Started, "started"},
        {PaceReason::Recovered, "recovered"},
}};

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::string_view paceReasonName(PaceReason reason)
{
    return enumName(PaceReasonNames, reason);
}

void ServerPace::start(const ServerId &server, std::size_t slots, PaceReason reason, TimePoint now)
{
    if (this->settings.initialWindow == 0 || slots <= this->settings.initialWindow)
        return;
    Record record;
    record.slots = slots;
    record.window = this->settings.initialWindow;
    record.startedAt = now;
    this->records[server] = record;
    this->log.write(Event::ServerPaceStarted, {{"server", server},
                                               {"reason", std::string(paceReasonName(reason))},
                                               {"window", static_cast<std::int64_t>(record.window)},
                                               {"slots", static_cast<std::int64_t>(slots)}});
}

void ServerPace::onDispatched(const ServerId &server, const PromptKey &key, TimePoint dueAt,
                              TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end())
        return;
    Record &record = found->second;
    if (this->isOver(record, now))
        return this->end(found, now);
    if (!record.endsAt)
        record.endsAt = now + this->settings.maxTime;
    record.waiting.push_back({key, now, dueAt});
}

std::optional<ServerId> ServerPace::onFirstEvent(const PromptKey &key, TimePoint now)
{
    for (auto record = this->records.begin(); record != this->records.end(); ++record) {
        std::vector<WaitingPrompt> &waiting = record->second.waiting;
        const auto prompt = std::find_if(waiting.begin(), waiting.end(),
                                         [&key](const auto &entry) { return entry.key == key; });
        if (prompt == waiting.end())
            continue;
        const WaitingPrompt answered = *prompt;
        waiting.erase(prompt);
        if (now > answered.dueAt) {
            // Prompts that were sent together say the same.
            if (answered.dispatchedAt >= record->second.setbackAt)
                this->shrink(record->second, record->second.window / 2, now);
            return std::nullopt;
        }
        const ServerId server = record->first;
        ++record->second.window;
        if (record->second.window >= record->second.slots || this->isOver(record->second, now))
            this->end(record, now);
        return server;
    }
    return std::nullopt;
}

void ServerPace::onEnded(const PromptKey &key)
{
    for (auto &[server, record] : this->records) {
        std::vector<WaitingPrompt> &waiting = record.waiting;
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                     [&key](const auto &entry) { return entry.key == key; }),
                      waiting.end());
    }
}

void ServerPace::onSetback(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found != this->records.end())
        this->shrink(found->second, 1, now);
}

void ServerPace::shrink(Record &record, std::size_t window, TimePoint now)
{
    record.window = std::max<std::size_t>(1, window);
    record.setbackAt = now;
    record.endsAt = now + this->settings.maxTime;
}

bool ServerPace::isOver(const Record &record, TimePoint now)
{
    return record.endsAt && *record.endsAt <= now;
}

bool ServerPace::admits(const ServerId &server, TimePoint now) const
{
    const std::optional<std::size_t> window = this->window(server, now);
    if (!window)
        return true;
    const std::vector<WaitingPrompt> &waiting = this->records.at(server).waiting;
    const auto count = std::count_if(waiting.begin(), waiting.end(), [&](const auto &prompt) {
        return now < prompt.dueAt + this->settings.maxOverdue;
    });
    return static_cast<std::size_t>(count) < *window;
}

std::optional<std::size_t> ServerPace::window(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || this->isOver(found->second, now))
        return std::nullopt;
    return found->second.window;
}

std::size_t ServerPace::settle(TimePoint now)
{
    for (auto record = this->records.begin(); record != this->records.end();) {
        const auto next = std::next(record);
        if (this->isOver(record->second, now))
            this->end(record, now);
        record = next;
    }
    return this->records.size();
}

void ServerPace::end(std::map<ServerId, Record>::iterator record, TimePoint now)
{
    this->log.write(Event::ServerPaceEnded,
                    {{"server", record->first},
                     {"window", static_cast<std::int64_t>(record->second.window)},
                     {"slots", static_cast<std::int64_t>(record->second.slots)},
                     {"took_ms", toMs(now - record->second.startedAt)}});
    this->records.erase(record);
}

} // namespace dotterel
