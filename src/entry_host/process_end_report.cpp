#include "entry_host/process_end_report.h"

#include "core/enum_names.h"
#include "core/event_log.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <execinfo.h>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

namespace dotterel {

namespace {

constexpr std::array<EnumName<ProcessEndReason>, 6> ReasonNames = {{
        {ProcessEndReason::Shutdown, "shutdown"},
        {ProcessEndReason::InvalidSettings, "invalid_settings"},
        {ProcessEndReason::Exception, "exception"},
        {ProcessEndReason::Terminate, "terminate"},
        {ProcessEndReason::Signal, "signal"},
        {ProcessEndReason::Exit, "exit"},
}};

struct SignalName
{
    int number;
    std::string_view name;
};

/// Signals that end a process which does not handle them, and may come from its own code or from
/// its surroundings. SIGSYS and real-time signals are left to the tools that use them.
constexpr std::array<SignalName, 14> FatalSignals = {{
        {SIGSEGV, "SIGSEGV"},
        {SIGBUS, "SIGBUS"},
        {SIGFPE, "SIGFPE"},
        {SIGILL, "SIGILL"},
        {SIGABRT, "SIGABRT"},
        {SIGTRAP, "SIGTRAP"},
        {SIGQUIT, "SIGQUIT"},
        {SIGXCPU, "SIGXCPU"},
        {SIGALRM, "SIGALRM"},
        {SIGVTALRM, "SIGVTALRM"},
        {SIGPROF, "SIGPROF"},
        {SIGIO, "SIGIO"},
        {SIGPWR, "SIGPWR"},
        {SIGSTKFLT, "SIGSTKFLT"},
}};

constexpr std::size_t MaxLineBytes = 1'024;
constexpr std::size_t MaxErrorBytes = 300;
constexpr int MaxFrames = 64;
constexpr std::size_t HandlerStackBytes = 128UL * 1024;
constexpr int MaxCountedFiles = 65'536;

/// A line of text that is put together without allocating memory.
class FixedLine
{
public:
    void append(std::string_view text)
    {
        const std::size_t length = std::min(text.size(), MaxLineBytes - this->length);
        std::copy_n(text.data(), length, this->bytes.data() + this->length);
        this->length += length;
    }

    void append(std::int64_t number)
    {
        std::array<char, 24> digits{};
        std::size_t first = digits.size();
        std::uint64_t rest = number < 0 ? -static_cast<std::uint64_t>(number)
                                        : static_cast<std::uint64_t>(number);
        do {
            digits[--first] = static_cast<char>('0' + rest % 10);
            rest /= 10;
        } while (rest > 0);
        if (number < 0)
            digits[--first] = '-';
        this->append(std::string_view(digits.data() + first, digits.size() - first));
    }

    /// Appends \a text as the inside of a JSON string; characters that would need an escape become
    /// question marks.
    void appendPlain(std::string_view text)
    {
        for (const char byte : text.substr(0, MaxErrorBytes)) {
            const bool plain = byte >= ' ' && byte <= '~' && byte != '"' && byte != '\\';
            const char written = plain ? byte : '?';
            this->append(std::string_view(&written, 1));
        }
    }

    std::string_view text() const { return {this->bytes.data(), this->length}; }

private:
    std::array<char, MaxLineBytes> bytes{};
    std::size_t length = 0;
};

// A signal handler has no other way to its data.
FixedLine hostFields;
bool installed = false;
volatile std::sig_atomic_t reported = 0;
std::array<char, HandlerStackBytes> handlerStack;

std::int64_t unixTimeMs()
{
    timespec time{};
    clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000;
}

std::int64_t countOpenFiles()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const int end = static_cast<int>(std::min<rlim_t>(limit.rlim_cur, MaxCountedFiles));
    std::int64_t openFiles = 0;
    for (int descriptor = 0; descriptor < end; ++descriptor) {
        if (fcntl(descriptor, F_GETFD) != -1)
            ++openFiles;
    }
    return openFiles;
}

/// Returns true if a line can be written to \a descriptor without blocking.
bool isWritable(int descriptor)
{
    pollfd output{descriptor, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// Writes the last line; \a detailName and \a detail are a further field, if there is one. Uses
/// only what a signal handler may use.
void writeLastLine(ProcessEndReason reason, std::string_view detailName, std::string_view detail,
                   int exitCode)
{
    if (!installed || reported != 0)
        return;
    reported = 1;
    FixedLine line;
    line.append(R"({"time_ms":)");
    line.append(unixTimeMs());
    line.append(hostFields.text());
    line.append(processEndReasonName(reason));
    line.append("\"");
    if (!detail.empty()) {
        line.append(",\"");
        line.append(detailName);
        line.append("\":\"");
        line.appendPlain(detail);
        line.append("\"");
    }
    if (reason != ProcessEndReason::Signal && reason != ProcessEndReason::Terminate) {
        line.append(",\"exit_code\":");
        line.append(exitCode);
    }
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    line.append(",\"peak_memory_kb\":");
    line.append(usage.ru_maxrss);
    line.append(",\"open_files\":");
    line.append(countOpenFiles());
    line.append("}\n");
    const std::string_view text = line.text();
    // Standard output may be a full pipe or a full disk.
    const bool written =
            isWritable(STDOUT_FILENO)
            && write(STDOUT_FILENO, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    if (!written && isWritable(STDERR_FILENO))
        static_cast<void>(!write(STDERR_FILENO, text.data(), text.size()));
}

void writeBacktrace()
{
    if (!isWritable(STDERR_FILENO))
        return;
    std::array<void *, MaxFrames> frames{};
    const int count = backtrace(frames.data(), MaxFrames);
    backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
}

std::string_view signalName(int number)
{
    for (const SignalName &known : FatalSignals) {
        if (known.number == number)
            return known.name;
    }
    return "unknown";
}

/// The handler is reset when it is called, so that the signal ends the process on return.
void onFatalSignal(int number)
{
    writeLastLine(ProcessEndReason::Signal, "signal", signalName(number), 0);
    writeBacktrace();
    raise(number);
}

[[noreturn]] void onTerminate()
{
    try {
        if (std::current_exception())
            std::rethrow_exception(std::current_exception());
        writeLastLine(ProcessEndReason::Terminate, "", "", 0);
    } catch (const std::exception &error) {
        writeLastLine(ProcessEndReason::Terminate, "error", error.what(), 0);
    } catch (...) {
        writeLastLine(ProcessEndReason::Terminate, "error", "no std::exception", 0);
    }
    std::abort();
}

void onExit()
{
    // The exit code is not known here.
    writeLastLine(ProcessEndReason::Exit, "", "", -1);
}

/// Installs the handler of \a number, unless the signal is handled or ignored.
void installSignalHandler(int number, int flags)
{
    struct sigaction present
    {};
    if (sigaction(number, nullptr, &present) != 0 || present.sa_handler != SIG_DFL)
        return;
    struct sigaction action
    {};
    action.sa_handler = &onFatalSignal;
    action.sa_flags = flags;
    sigemptyset(&action.sa_mask);
    sigaction(number, &action, nullptr);
}

void installSignalHandlers()
{
    stack_t stack{};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    // A stack overflow leaves no room for the handler on the stack of the thread.
    const int stackFlag = sigaltstack(&stack, nullptr) == 0 ? SA_ONSTACK : 0;
    const int flags = static_cast<int>(SA_RESETHAND) | stackFlag;
    for (const SignalName &fatal : FatalSignals)
        installSignalHandler(fatal.number, flags);
}

} // namespace

std::string_view processEndReasonName(ProcessEndReason reason)
{
    return enumName(ReasonNames, reason);
}

void installProcessEndReport(const HostId &host)
{
    const auto &table = eventTable();
    const auto info = std::find_if(table.begin(), table.end(), [](const EventInfo &row) {
        return row.event == Event::HostStopped;
    });
    hostFields = FixedLine();
    hostFields.append(",\"host\":");
    hostFields.append(nlohmann::json(host).dump());
    hostFields.append(",\"event\":");
    hostFields.append(static_cast<std::int64_t>(info->event));
    hostFields.append(",\"name\":\"");
    hostFields.append(info->name);
    hostFields.append("\",\"severity\":\"");
    hostFields.append(severityName(info->severity));
    hostFields.append("\",\"reason\":\"");
    if (installed)
        return;
    installed = true;
    // The first call loads a library, which a signal handler must not do.
    void *frame = nullptr;
    backtrace(&frame, 1);
    std::set_terminate(&onTerminate);
    std::atexit(&onExit);
    installSignalHandlers();
}

void reportProcessEnd(ProcessEndReason reason, int exitCode, std::string_view error)
{
    writeLastLine(reason, "error", error, exitCode);
}

} // namespace dotterel
