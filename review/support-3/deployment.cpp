#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

/// Ports of one gateway, one after the other: callers, readiness, peers, relay, operators.
constexpr std::uint16_t PortsOfGateway = 5;
constexpr std::uint16_t ReadinessPort = 1;
constexpr std::uint16_t PeersPort = 2;
constexpr std::uint16_t OperatorsPort = 4;
constexpr std::uint16_t FirstPort = 21'000;
constexpr std::uint16_t PortStep = 10;
constexpr std::uint16_t LastPort = 31'000;
/// Programs that are started one after the other begin apart.
constexpr std::uint16_t PortsOfProgram = 100;
constexpr int Programs = 97;
constexpr int ReadinessTimeoutMs = 500;

std::uint16_t findFreePorts()
{
    static std::uint16_t next =
            static_cast<std::uint16_t>(FirstPort + (getpid() % Programs) * PortsOfProgram);
    while (next < LastPort) {
        const std::uint16_t base = next;
        next = static_cast<std::uint16_t>(next + PortStep);
        bool free = true;
        for (std::uint16_t offset = 0; offset < PortsOfGateway; ++offset) {
            auto port = static_cast<std::uint16_t>(base + offset);
            const int listener = listenOnLoopback(port);
            free = free && listener >= 0;
            if (listener >= 0)
                close(listener);
        }
        if (free)
            return base;
    }
    std::fprintf(stderr, "no free ports\n");
    std::_Exit(2);
}

std::string replaced(std::string text, const std::string &placeholder, const std::string &value)
{
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size()))
        text.replace(at, placeholder.size(), value);
    return text;
}

} // namespace

Record::Record(const std::string &path)
    : startedAt(nowMs())
    , file(path)
{}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    char time[24];
    std::snprintf(time, sizeof(time), "%9.3f  ",
                  static_cast<double>(nowMs() - this->startedAt) / 1e3);
    this->file << time << line << std::endl;
}

Gateway::Gateway(std::string name, std::string zone, const std::string &storeAddress,
                 const std::string &directory)
    : hostName(std::move(name))
    , zone(std::move(zone))
    , storeAddress(storeAddress)
    , settingsPath(directory + "/" + this->hostName + ".yaml")
    , logPath(directory + "/" + this->hostName + ".log")
    , basePort(findFreePorts())
{
    // The template of the deploy file, filled in as the platform does.
    std::ifstream source("deploy/settings.yaml");
    std::stringstream text;
    for (std::string line; std::getline(source, line);) {
        if (line.find("{{#") == std::string::npos && line.find("{{/") == std::string::npos
            && line.find("evac_ms") == std::string::npos)
            text << line << '\n';
    }
    const auto endpoint = [this](std::uint16_t offset) {
        return "127.0.0.1:" + std::to_string(this->basePort + offset);
    };
    std::string settings = text.str();
    settings = replaced(settings, "{{node_name}}", this->hostName);
    settings = replaced(settings, "{{zone}}", this->zone);
    settings = replaced(settings, "{{bind.front}}", endpoint(0));
    settings = replaced(settings, "{{bind.ready}}", endpoint(ReadinessPort));
    settings = replaced(settings, "{{ip}}:{{port_range.1}}", endpoint(OperatorsPort));
    settings = replaced(settings, "{{ip}}:{{port_range.0}}", endpoint(PeersPort));
    settings = replaced(settings, "{{platform.address}}", this->storeAddress);
    settings = replaced(settings, "{{limits.max_fds}}", "4100");
    settings = replaced(settings, "{{limits.memory_mb}}", "260");
    settings = replaced(settings, "{{bounds.retry_ratio}}", "0.2");
    settings = replaced(settings, "{{bounds.retry_slack}}", "106");
    settings = replaced(settings, "{{bounds.retry_window_s}}", "10");
    settings = replaced(settings, "{{bounds.grace_s}}", "8");
    std::ofstream(this->settingsPath) << settings;
}

Gateway::~Gateway()
{
    if (this->process < 0)
        return;
    this->signal(SIGCONT);
    this->signal(SIGKILL);
    this->waitForEnd();
}

void Gateway::start()
{
    this->process = fork();
    if (this->process != 0)
        return;
    // The process ends with the program of the case, whatever ends that.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl("target/dotterelgateway", "target/dotterelgateway", "--settings",
          this->settingsPath.c_str(), static_cast<char *>(nullptr));
    _exit(127);
}

void Gateway::signal(int number) const
{
    if (this->process > 0)
        kill(this->process, number);
}

void Gateway::waitForEnd()
{
    int status = 0;
    if (this->process > 0)
        waitpid(this->process, &status, 0);
    this->process = -1;
}

bool Gateway::isReady() const
{
    const int descriptor =
            Connection::open(static_cast<std::uint16_t>(this->basePort + ReadinessPort));
    if (descriptor < 0)
        return false;
    Connection connection(descriptor);
    connection.write(formatRequest("GET", "/-/ready", {{"Host", "ready"}}, ""));
    return connection.readResponse(ReadinessTimeoutMs).status == 200;
}

bool Gateway::waitUntilReady(int timeoutMs) const
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    while (nowMs() < deadline) {
        if (this->isReady())
            return true;
        sleepMs(50);
    }
    return false;
}

nlohmann::json baseConfiguration(std::uint64_t version)
{
    return {{"version", version},
            {"routes", nlohmann::json::array()},
            {"services", nlohmann::json::array()},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "hule930"}, {"api_keys", {ApiKey}}, {"priority", 1}}}}};
}

} // namespace review
