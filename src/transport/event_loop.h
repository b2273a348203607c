#pragma once

#include "core/time.h"

#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace dotterel {

/// Event loop over libevent. A process has a single loop, and all its work runs on the loop's
/// thread.
class EventLoop : public Clock
{
public:
    using Callback = std::function<void()>;

    /// A pending callback; destroying it cancels the callback.
    class Timer
    {
    public:
        virtual ~Timer() = default;
    };
    using TimerHandle = std::unique_ptr<Timer>;

    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    TimePoint now() const override;
    WallMilliseconds wallTime() const override;

    /// Calls \a callback from the loop once, after \a delay.
    TimerHandle after(Duration delay, Callback callback);

    /// Calls \a callback every \a period until the handle is destroyed.
    TimerHandle every(Duration period, Callback callback);

    /// Calls \a callback each time the process receives \a signalNumber.
    TimerHandle onSignal(int signalNumber, Callback callback);

    /// Runs until stop() is called.
    void run();

    /// Handles the pending events once; if \a wait is true, blocks until there is one.
    void runOnce(bool wait);

    /// Makes run() return after the current event.
    void stop();

    /// Keeps \a object alive until the current event has been handled. libevent does not allow some
    /// of its objects to be freed from inside their own callbacks.
    void disposeLater(std::shared_ptr<void> object);

    /// Returns the libevent base, for adapters in this layer.
    event_base *base() const { return this->eventBase; }

private:
    event_base *eventBase;
    std::vector<std::shared_ptr<void>> pendingDisposal;
    TimerHandle disposalTimer;
};

} // namespace dotterel
