// How a process of an entry host ends, and what its last line says.

#include "support/child_process.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace dotterel;
using support::ChildProcess;
using namespace std::chrono_literals;

namespace {

constexpr int ExitRuntimeError = 4;

/// A dotterelfieldd whose platform is out of reach.
class LoneHost
{
public:
    LoneHost()
        : path("process-end-test-" + std::to_string(getpid()))
    {}
    ~LoneHost()
    {
        this->process.reset();
        std::remove((this->path + ".yaml").c_str());
        std::remove((this->path + ".log").c_str());
    }
    LoneHost(const LoneHost &) = delete;
    LoneHost &operator=(const LoneHost &) = delete;

    static std::string settings(const std::string &callers)
    {
        return "host: real\nfailure-domain: centro-a\nlog-threshold: error\n"
               "callers: "
               + callers
               + "\noperators: {address: 127.0.0.1, port: 0}\n"
                 "peers: {address: 127.0.0.1, port: 0}\n"
                 "platform: {address: 127.0.0.1, port: 1}\nshutdown-grace-ms: 10\n";
    }

    void start()
    {
        const std::string program = std::string(DOTTEREL_BINARY_DIR) + "/dotterelfieldd";
        this->process = std::make_unique<ChildProcess>(
                std::vector<std::string>{program, "--settings", this->path + ".yaml"},
                this->path + ".log");
    }

    /// Starts the host with \a callers as the address for callers, and waits for its event loop.
    void startWith(const std::string &callers)
    {
        std::ofstream(this->path + ".yaml") << settings(callers);
        this->start();
    }

    /// Starts the host, calls \a duringStart while it waits for its settings, and then gives it
    /// them.
    void startInterruptedBy(const std::function<void()> &duringStart)
    {
        const std::string pipe = this->path + ".yaml";
        REQUIRE(mkfifo(pipe.c_str(), 0600) == 0);
        this->start();
        // Blocks until the host has opened its end.
        const int descriptor = open(pipe.c_str(), O_WRONLY | O_CLOEXEC);
        REQUIRE(descriptor >= 0);
        duringStart();
        const std::string text = settings("{address: 127.0.0.1, port: 0}");
        REQUIRE(write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(descriptor);
    }

    bool becomesTrue(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        return condition();
    }

    bool logs(const std::string &text) const
    {
        return this->process->output().find(text) != std::string::npos;
    }

    /// Returns true once the host handles signals: it ignores none of its operators any more.
    bool handlesSignals() const
    {
        std::ifstream status("/proc/" + std::to_string(this->process->processId()) + "/status");
        std::string word;
        std::string blocked;
        std::string caught;
        while (status >> word) {
            if (word == "SigBlk:")
                status >> blocked;
            if (word == "SigCgt:")
                status >> caught;
        }
        const auto holds = [](const std::string &mask, int number) {
            return !mask.empty() && (std::stoull(mask, nullptr, 16) >> (number - 1) & 1U) != 0;
        };
        return holds(caught, SIGTERM) && !holds(blocked, SIGTERM);
    }

    std::string path;
    std::unique_ptr<ChildProcess> process;
};

} // namespace

TEST_CASE("The last line of a log says what ended the host", "[EntryHost][ProcessEnd]")
{
    LoneHost host;

    SECTION("an operator's word")
    {
        host.startWith("{address: 127.0.0.1, port: 0}");
        REQUIRE(host.becomesTrue([&] { return host.handlesSignals(); }));
        host.process->signal(SIGTERM);
        CHECK(host.process->wait() == 0);
        CHECK(host.logs(
                R"("name":"host_stopped","severity":"warning","reason":"shutdown","exit_code":0,)"));
        CHECK(host.logs("\"peak_memory_kb\":"));
        CHECK(host.logs("\"open_files\":"));
    }
    SECTION("an exception at the start")
    {
        host.startWith("{address: 192.0.2.1, port: 1}");
        CHECK(host.process->wait() == ExitRuntimeError);
        CHECK(host.logs(R"("reason":"exception","error":"cannot listen on 192.0.2.1:1")"));
    }
    SECTION("a signal")
    {
        host.startWith("{address: 127.0.0.1, port: 0}");
        REQUIRE(host.becomesTrue([&] { return host.handlesSignals(); }));
        host.process->signal(SIGABRT);
        CHECK(host.process->wait() == -SIGABRT);
        CHECK(host.logs(R"("reason":"signal","signal":"SIGABRT",)"));
        CHECK(host.logs("event_base_loop"));
    }
    SECTION("a signal that no code of the host raises")
    {
        const int number = GENERATE(SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT);
        CAPTURE(number);
        host.startWith("{address: 127.0.0.1, port: 0}");
        REQUIRE(host.becomesTrue([&] { return host.handlesSignals(); }));
        host.process->signal(number);
        CHECK(host.process->wait() == -number);
        CHECK(host.logs(R"("reason":"signal","signal":)"));
    }
}

// Guards against a reload or a stop that comes while a host starts.
TEST_CASE("A signal ended a host that was starting", "[EntryHost][ProcessEnd]")
{
    LoneHost host;

    SECTION("a reload")
    {
        host.startInterruptedBy([&] { host.process->signal(SIGHUP); });
        CHECK(host.becomesTrue([&] { return host.handlesSignals() || !host.process->running(); }));
        REQUIRE(host.process->running());
        host.process->signal(SIGTERM);
        CHECK(host.process->wait() == 0);
    }
    SECTION("a stop, in series")
    {
        host.startInterruptedBy([&] {
            for (int i = 0; i < 3; ++i)
                host.process->signal(SIGTERM);
        });
        CHECK(host.process->wait() == 0);
        CHECK(host.logs("\"reason\":\"shutdown\""));
    }
}

// Guards against signals whose usual effect ends a process that does not expect them.
TEST_CASE("A signal that says nothing ended a host", "[EntryHost][ProcessEnd]")
{
    LoneHost host;
    host.startWith("{address: 127.0.0.1, port: 0}");
    REQUIRE(host.becomesTrue([&] { return host.handlesSignals(); }));
    for (const int number : {SIGUSR1, SIGUSR2, SIGPIPE, SIGXFSZ, SIGHUP})
        host.process->signal(number);
    // The signals above come first.
    host.process->signal(SIGTERM);
    CHECK(host.process->wait() == 0);
}

// Guards against a stop that is repeated while a host has stopped and takes itself apart.
TEST_CASE("A stop that came again ended a host by its signal", "[EntryHost][ProcessEnd]")
{
    const int number = GENERATE(SIGTERM, SIGINT, SIGHUP);
    LoneHost host;
    host.startWith("{address: 127.0.0.1, port: 0}");
    REQUIRE(host.becomesTrue([&] { return host.handlesSignals(); }));
    host.process->signal(SIGTERM);
    while (host.process->running())
        host.process->signal(number);
    CHECK(host.process->wait() == 0);
    CHECK(host.logs("\"reason\":\"shutdown\""));
}
