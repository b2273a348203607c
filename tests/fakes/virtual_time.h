#pragma once

#include "core/time.h"

#include <functional>
#include <map>

namespace dotterel::fakes {

/// A time line that moves only from one scheduled call to the next.
class VirtualTime
{
public:
    TimePoint now() const { return this->current; }

    /// Calls \a callback once, \a delay from now.
    void after(Duration delay, std::function<void()> callback)
    {
        this->calls.emplace(this->current + delay, std::move(callback));
    }

    /// Runs every call that is due until \a end, and moves to \a end.
    void runUntil(TimePoint end)
    {
        while (!this->calls.empty() && this->calls.begin()->first <= end) {
            const auto first = this->calls.begin();
            this->current = first->first;
            const std::function<void()> callback = std::move(first->second);
            this->calls.erase(first);
            callback();
        }
        this->current = end;
    }

    void runFor(Duration time) { this->runUntil(this->current + time); }

private:
    TimePoint current{};
    std::multimap<TimePoint, std::function<void()>> calls;
};

} // namespace dotterel::fakes
