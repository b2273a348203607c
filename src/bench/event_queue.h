#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace dotterel::bench {

/// Runs actions in the order of a virtual time, those of one time in the order they were added.
class EventQueue
{
public:
    using Action = std::function<void()>;

    /// Time of the action that runs.
    TimePoint now() const { return this->time; }

    /// Runs \a action after \a delay.
    void after(Duration delay, Action action)
    {
        this->events.push({this->time + delay, this->nextSequence++, std::move(action)});
    }

    /// Runs everything until nothing is left.
    void run()
    {
        while (!this->events.empty()) {
            // The queue only gives constant access; the event is removed right after the move.
            Event event = std::move(const_cast<Event &>(this->events.top()));
            this->events.pop();
            this->time = event.at;
            event.action();
        }
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
        }
    };

    TimePoint time;
    std::uint64_t nextSequence = 0;
    std::priority_queue<Event> events;
};

} // namespace dotterel::bench
