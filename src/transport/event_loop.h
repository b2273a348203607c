#pragma once

#include "core/time.h"

#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace dotterel {

/// The one loop of a process, over libevent. Everything in a process runs on its thread.
class EventLoop : public Clock
{
public:
    using Callback = std::function<void()>;

    /// A pending call; destroying it takes the call back.
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

    /// Calls \a callback once after \a delay, from the loop.
    TimerHandle after(Duration delay, Callback callback);

    /// Calls \a callback every \a period until the handle is destroyed.
    TimerHandle every(Duration period, Callback callback);

    /// Calls \a callback whenever the process gets \a signalNumber.
    TimerHandle onSignal(int signalNumber, Callback callback);

    /// Runs until stop() is called.
    void run();

    /// Runs pending events once; waits for one if \a wait is true.
    void runOnce(bool wait);

    /// Makes run() return after the current event.
    void stop();

    /// Keeps \a object until the current event has been handled. libevent does not allow some of
    /// its objects to be freed from inside their own callbacks.
    void disposeLater(std::shared_ptr<void> object);

    /// The libevent base, for adapters in this layer.
    event_base *base() const { return this->eventBase; }

private:
    event_base *eventBase;
    std::vector<std::shared_ptr<void>> disposed;
    TimerHandle disposeTimer;
};

} // namespace dotterel
