#pragma once

#include "core/time.h"

#include <exception>
#include <functional>
#include <memory>
#include <string_view>
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

    /// Calls \a callback each time the process receives \a signalNumber; delivers the signal if it
    /// was blocked until now.
    TimerHandle onSignal(int signalNumber, Callback callback);

    /// Runs until stop() is called. Throws std::runtime_error if the loop cannot go on.
    void run();

    /// Handles the pending events once; if \a wait is true, blocks until there is one.
    void runOnce(bool wait);

    /// Makes run() return after the current event.
    void stop();

    /// Keeps \a object alive until the current event has been handled. libevent does not allow some
    /// of its objects to be freed from inside their own callbacks.
    void disposeLater(std::shared_ptr<void> object);

    /// Receives exceptions that left the handling of one event, with the name of what handled it.
    using FaultHandler = std::function<void(std::string_view source, const std::exception &error)>;

    /// Sets the receiver of exceptions; without one they end run(). What it throws itself, as when
    /// memory is short, is written to standard error.
    void setFaultHandler(FaultHandler handler) { this->faultHandler = std::move(handler); }

    /// Runs \a handling, the handling of one event by \a source. An exception costs this event
    /// only: it is reported, and false is returned.
    template <typename Handling>
    bool contain(std::string_view source, Handling &&handling)
    {
        try {
            handling();
            return true;
        } catch (const std::exception &error) {
            if (!this->faultHandler)
                throw;
            this->reportFault(source, error);
            return false;
        }
    }

    /// Returns the libevent base, for adapters in this layer.
    event_base *base() const { return this->eventBase; }

private:
    void reportFault(std::string_view source, const std::exception &error) noexcept;

    event_base *eventBase;
    std::vector<std::shared_ptr<void>> pendingDisposal;
    TimerHandle disposalTimer;
    FaultHandler faultHandler;
};

} // namespace dotterel
