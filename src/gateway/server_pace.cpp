#include "gateway/server_pace.h"

#include "core/enum_names.h"
#include "core/hashing.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<PaceReason>, 2> PaceReasonNames = {{
        {PaceReason::Started, "started"},
        {PaceReason::Recovered, "recovered"},
}};

constexpr double HashRange = 18446744073709551616.0; // 2^64

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
    record.turn = this->settings.initialTurn;
    for (auto recent = this->recentPrompts.rbegin(); recent != this->recentPrompts.rend();
         ++recent) {
        if (recent->second.dispatchedAt + this->settings.newsDelay <= now
            || record.waiting.size() == record.window)
            break;
        if (recent->first == server)
            record.waiting.push_back(recent->second);
    }
    if (!record.waiting.empty())
        record.endsAt = now + this->settings.maxTime;
    this->drawTurn(server, record, 0, now);
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
        return this->rememberPrompt(server, {key, now, dueAt});
    Record &record = found->second;
    if (this->isOver(record, now))
        return this->end(found, now);
    if (!record.endsAt)
        record.endsAt = now + this->settings.maxTime;
    record.waiting.push_back({key, now, dueAt});
    this->drawTurn(server, record, key.senderHash + key.sequence, now);
}

std::optional<ServerId> ServerPace::onFirstEvent(const PromptKey &key, TimePoint now)
{
    this->forgetRecent(key);
    for (auto record = this->records.begin(); record != this->records.end(); ++record) {
        std::vector<WaitingPrompt> &waiting = record->second.waiting;
        const auto prompt = std::find_if(waiting.begin(), waiting.end(),
                                         [&key](const auto &entry) { return entry.key == key; });
        if (prompt == waiting.end())
            continue;
        const WaitingPrompt answered = *prompt;
        waiting.erase(prompt);
        record->second.turn = std::min(this->settings.maxTurn, now - answered.dispatchedAt);
        this->drawTurn(record->first, record->second, key.senderHash + key.sequence, now);
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

void ServerPace::rememberPrompt(const ServerId &server, const WaitingPrompt &prompt)
{
    if (this->settings.initialWindow == 0)
        return;
    while (!this->recentPrompts.empty()
           && this->recentPrompts.front().second.dispatchedAt + this->settings.newsDelay
                      < prompt.dispatchedAt)
        this->recentPrompts.pop_front();
    this->recentPrompts.emplace_back(server, prompt);
}

void ServerPace::forgetRecent(const PromptKey &key)
{
    const auto found =
            std::find_if(this->recentPrompts.begin(), this->recentPrompts.end(),
                         [&key](const auto &recent) { return recent.second.key == key; });
    if (found != this->recentPrompts.end())
        this->recentPrompts.erase(found);
}

void ServerPace::onEnded(const PromptKey &key)
{
    this->forgetRecent(key);
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

void ServerPace::drawTurn(const ServerId &server, Record &record, std::uint64_t sequence,
                          TimePoint now)
{
    record.changedAt = now;
    if (this->hostHash == 0)
        return;
    const std::uint64_t hash =
            hash64(server + "/" + std::to_string(this->hostHash) + "/" + std::to_string(sequence));
    record.position = static_cast<double>(hash) / HashRange;
}

std::size_t ServerPace::waitingCount(const Record &record, TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(record.waiting.begin(), record.waiting.end(), [&](const auto &prompt) {
                return now < prompt.dueAt + this->settings.maxOverdue;
            }));
}

std::size_t ServerPace::windowOf(const Record &record, TimePoint now) const
{
    // One that is due says that it is late before its first event does.
    const bool isLate =
            std::any_of(record.waiting.begin(), record.waiting.end(), [&](const auto &prompt) {
                return prompt.dispatchedAt >= record.setbackAt && prompt.dueAt < now
                       && now < prompt.dueAt + this->settings.maxOverdue;
            });
    return isLate ? std::max<std::size_t>(1, record.window / 2) : record.window;
}

bool ServerPace::admits(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || this->isOver(found->second, now))
        return true;
    const Record &record = found->second;
    const std::size_t window = this->windowOf(record, now);
    const std::size_t waiting = this->waitingCount(record, now);
    if (waiting >= window)
        return false;
    const auto places = static_cast<double>(window - waiting);
    return toSeconds(now - record.changedAt) * places >= toSeconds(record.turn) * record.position;
}

std::optional<std::size_t> ServerPace::window(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || this->isOver(found->second, now))
        return std::nullopt;
    return this->windowOf(found->second, now);
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
