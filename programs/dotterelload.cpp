#include "bench/stream_load.h"
#include "bench/upload_load.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <popt.h>
#include <sstream>
#include <unistd.h>

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadUsage = 2;
constexpr long LargestPort = 65'535;
constexpr double BytesPerMegabyte = 1'024.0 * 1'024;

struct Options
{
    dotterel::StreamLoadPlan plan;
    std::uint64_t uploadBytes = 0; ///< Uploads take the place of streams unless 0.
    std::optional<pid_t> watched;
};

/// Processor time and memory of a process, from its /proc entry.
struct ProcessUse
{
    double processorSeconds = 0;
    double peakMegabytes = 0;
    double residentMegabytes = 0;
};

double statusMegabytes(pid_t pid, const std::string &field)
{
    constexpr double KilobytesPerMegabyte = 1'024;
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.compare(0, field.size(), field) == 0)
            return std::strtod(line.c_str() + field.size() + 1, nullptr) / KilobytesPerMegabyte;
    }
    return 0;
}

ProcessUse useOf(pid_t pid)
{
    // Fields 14 and 15 of stat are user and system time; the name in field 2 may hold spaces.
    constexpr int FieldsBeforeUserTime = 11;
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i)
        fields >> skipped;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    ProcessUse use;
    use.processorSeconds = (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    use.peakMegabytes = statusMegabytes(pid, "VmHWM");
    use.residentMegabytes = statusMegabytes(pid, "VmRSS");
    return use;
}

std::optional<Options> parseOptions(int argc, const char **argv)
{
    Options options;
    int port = 0;
    int concurrency = 1;
    int requests = 1;
    int promptTokens = 1'000;
    int uploadBytes = 0;
    int pid = 0;
    const poptOption table[] = {
            {"port", 'p', POPT_ARG_INT, &port, 0, "port on 127.0.0.1 to ask", "PORT"},
            {"concurrency", 'c', POPT_ARG_INT, &concurrency, 0, "streams open at once", "N"},
            {"requests", 'n', POPT_ARG_INT, &requests, 0, "streams in all", "N"},
            {"prompt-tokens", 't', POPT_ARG_INT, &promptTokens, 0, "length of each prompt", "N"},
            {"upload-bytes", 'u', POPT_ARG_INT, &uploadBytes, 0,
             "chunked uploads of this size in place of streams, one on each connection", "BYTES"},
            {"watch-pid", 'w', POPT_ARG_INT, &pid, 0, "process whose use is reported", "PID"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("dotterelload", argc, argv, table, 0);
    const int result = poptGetNextOpt(context);
    const bool surplus = poptGetArg(context) != nullptr;
    poptFreeContext(context);
    const bool positive = concurrency > 0 && requests > 0 && promptTokens > 0 && uploadBytes >= 0;
    if (result < -1 || surplus || port < 1 || port > LargestPort || !positive)
        return std::nullopt;
    options.plan.target.port = static_cast<std::uint16_t>(port);
    options.plan.concurrency = static_cast<std::uint64_t>(concurrency);
    options.plan.requests = static_cast<std::uint64_t>(requests);
    options.plan.promptTokens = static_cast<std::uint64_t>(promptTokens);
    options.uploadBytes = static_cast<std::uint64_t>(uploadBytes);
    if (pid > 0)
        options.watched = pid;
    return options;
}

void addUse(nlohmann::ordered_json &json, const std::optional<ProcessUse> &before,
            const std::optional<ProcessUse> &after)
{
    if (!before || !after)
        return;
    json["watched_cpu_s"] = after->processorSeconds - before->processorSeconds;
    json["watched_before_mb"] = before->residentMegabytes;
    json["watched_peak_mb"] = after->peakMegabytes;
    json["watched_after_mb"] = after->residentMegabytes;
}

void print(const dotterel::StreamLoadReport &report, const std::optional<ProcessUse> &before,
           const std::optional<ProcessUse> &after)
{
    nlohmann::ordered_json json;
    json["finished"] = report.finished;
    json["failed"] = report.failed;
    json["events"] = report.events;
    json["elapsed_s"] = report.elapsed;
    json["first_token_p50_s"] = dotterel::quantileOf(report.firstToken, 0.5);
    json["first_token_p95_s"] = dotterel::quantileOf(report.firstToken, 0.95);
    json["token_gap_p50_s"] = dotterel::quantileOf(report.tokenGap, 0.5);
    json["token_gap_p95_s"] = dotterel::quantileOf(report.tokenGap, 0.95);
    addUse(json, before, after);
    std::cout << json.dump() << '\n';
}

void print(const dotterel::UploadLoadReport &report, const std::optional<ProcessUse> &before,
           const std::optional<ProcessUse> &after)
{
    nlohmann::ordered_json json;
    json["responses"] = nlohmann::ordered_json::object();
    for (const auto &[status, count] : report.responses)
        json["responses"][std::to_string(status)] = count;
    json["unanswered"] = report.unanswered;
    json["sent_mb"] = static_cast<double>(report.sentBytes) / BytesPerMegabyte;
    json["elapsed_s"] = report.elapsed;
    addUse(json, before, after);
    std::cout << json.dump() << '\n';
}

std::optional<ProcessUse> watchedUse(const Options &options)
{
    return options.watched ? std::optional(useOf(*options.watched)) : std::nullopt;
}

int runUploads(const Options &options)
{
    const std::optional<ProcessUse> before = watchedUse(options);
    dotterel::UploadLoadPlan plan;
    plan.target = options.plan.target;
    plan.clients = options.plan.concurrency;
    plan.bodyBytes = options.uploadBytes;
    dotterel::EventLoop loop;
    int exitCode = ExitFailed;
    const dotterel::UploadLoad load(loop, plan, [&](const dotterel::UploadLoadReport &report) {
        print(report, before, watchedUse(options));
        exitCode = report.unanswered == 0 ? ExitOk : ExitFailed;
        loop.stop();
    });
    loop.run();
    return exitCode;
}

int runStreams(const Options &options)
{
    const std::optional<ProcessUse> before = watchedUse(options);
    dotterel::EventLoop loop;
    dotterel::HttpClient client(loop);
    int exitCode = ExitFailed;
    const dotterel::StreamLoad load(loop, client, options.plan,
                                    [&](const dotterel::StreamLoadReport &report) {
                                        print(report, before, watchedUse(options));
                                        exitCode = report.failed == 0 ? ExitOk : ExitFailed;
                                        loop.stop();
                                    });
    loop.run();
    return exitCode;
}

} // namespace

/// Keeps completion streams open against one address, or uploads to it, and prints what they took
/// as one line of JSON.
int main(int argc, const char **argv)
{
    const std::optional<Options> options = parseOptions(argc, argv);
    if (!options) {
        std::cerr << "dotterelload: --port must be from 1 to 65535 and the counts above 0; see "
                     "--help\n";
        return ExitBadUsage;
    }
    return options->uploadBytes > 0 ? runUploads(*options) : runStreams(*options);
}
