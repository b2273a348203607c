#include "transport/event_loop.h"

#include <csignal>
#include <cstdio>
#include <ctime>
#include <event2/event.h>
#include <new>
#include <stdexcept>

namespace dotterel {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;

timeval toTimeval(Duration duration)
{
    const std::int64_t microseconds = std::max<std::int64_t>(duration.count(), 0);
    timeval value{};
    value.tv_sec = microseconds / MicrosecondsPerSecond;
    value.tv_usec = microseconds % MicrosecondsPerSecond;
    return value;
}

class LibeventTimer : public EventLoop::Timer
{
public:
    LibeventTimer(EventLoop &loop, int descriptor, short flags, EventLoop::Callback callback)
        : loop(loop)
        , callback(std::move(callback))
        , handle(event_new(loop.base(), descriptor, flags, &LibeventTimer::onEvent, this))
    {
        if (this->handle == nullptr)
            throw std::bad_alloc();
    }
    ~LibeventTimer() override { event_free(this->handle); }
    LibeventTimer(const LibeventTimer &) = delete;
    LibeventTimer &operator=(const LibeventTimer &) = delete;

    void add(const timeval *timeout) { event_add(this->handle, timeout); }

private:
    static void onEvent(evutil_socket_t /*descriptor*/, short /*what*/, void *self)
    {
        auto *timer = static_cast<LibeventTimer *>(self);
        timer->loop.contain("timer", [timer] {
            // The callback may destroy this timer, so it is called through a copy.
            const EventLoop::Callback callback = timer->callback;
            callback();
        });
    }

    EventLoop &loop;
    EventLoop::Callback callback;
    event *handle;
};

/// Delivers a signal; blocks it again in the end if it was blocked before.
class LibeventSignal : public LibeventTimer
{
public:
    LibeventSignal(EventLoop &loop, int number, EventLoop::Callback callback)
        : LibeventTimer(loop, number, EV_SIGNAL | EV_PERSIST, std::move(callback))
    {
        this->add(nullptr);
        sigemptyset(&this->signals);
        sigaddset(&this->signals, number);
        sigset_t earlier{};
        pthread_sigmask(SIG_UNBLOCK, &this->signals, &earlier);
        this->wasBlocked = sigismember(&earlier, number) == 1;
    }
    ~LibeventSignal() override
    {
        // Without its handler the signal would end the process.
        if (this->wasBlocked)
            pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
    }
    LibeventSignal(const LibeventSignal &) = delete;
    LibeventSignal &operator=(const LibeventSignal &) = delete;

private:
    sigset_t signals{};
    bool wasBlocked = false;
};

} // namespace

EventLoop::EventLoop()
    : eventBase(event_base_new())
{
    if (this->eventBase == nullptr)
        throw std::runtime_error("event_base_new() failed");
    // A write to a closed socket must return an error instead of raising a signal.
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    // A destructor may schedule further objects for destruction.
    while (!this->pendingDisposal.empty()) {
        const std::vector<std::shared_ptr<void>> objects = std::move(this->pendingDisposal);
        this->pendingDisposal.clear();
    }
    this->disposalTimer.reset();
    event_base_free(this->eventBase);
}

TimePoint EventLoop::now() const
{
    timespec value{};
    clock_gettime(CLOCK_MONOTONIC, &value);
    return TimePoint(Duration(value.tv_sec * MicrosecondsPerSecond + value.tv_nsec / 1'000));
}

WallMilliseconds EventLoop::wallTime() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

EventLoop::TimerHandle EventLoop::after(Duration delay, Callback callback)
{
    auto timer = std::make_unique<LibeventTimer>(*this, -1, 0, std::move(callback));
    const timeval timeout = toTimeval(delay);
    timer->add(&timeout);
    return timer;
}

EventLoop::TimerHandle EventLoop::every(Duration period, Callback callback)
{
    auto timer = std::make_unique<LibeventTimer>(*this, -1, EV_PERSIST, std::move(callback));
    const timeval timeout = toTimeval(period);
    timer->add(&timeout);
    return timer;
}

EventLoop::TimerHandle EventLoop::onSignal(int signalNumber, Callback callback)
{
    return std::make_unique<LibeventSignal>(*this, signalNumber, std::move(callback));
}

void EventLoop::run()
{
    if (event_base_loop(this->eventBase, EVLOOP_NO_EXIT_ON_EMPTY) != 0)
        throw std::runtime_error("event_base_loop() failed");
}

void EventLoop::runOnce(bool wait)
{
    event_base_loop(this->eventBase, wait ? EVLOOP_ONCE : EVLOOP_NONBLOCK);
}

void EventLoop::stop()
{
    event_base_loopbreak(this->eventBase);
}

void EventLoop::disposeLater(std::shared_ptr<void> object)
{
    this->pendingDisposal.push_back(std::move(object));
    if (this->disposalTimer)
        return;
    // Without memory for the timer, the next call sets it.
    this->contain("disposal", [this] {
        this->disposalTimer = this->after(Duration::zero(), [this] {
            const std::vector<std::shared_ptr<void>> objects = std::move(this->pendingDisposal);
            this->pendingDisposal.clear();
            this->disposalTimer.reset();
        });
    });
}

void EventLoop::reportFault(std::string_view source, const std::exception &error) noexcept
{
    try {
        this->faultHandler(source, error);
    } catch (const std::exception &secondError) {
        std::fprintf(stderr, "%.*s: %s; the report failed: %s\n", static_cast<int>(source.size()),
                     source.data(), error.what(), secondError.what());
    }
}

} // namespace dotterel
