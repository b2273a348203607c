// The processes of a SoakRun: start, supervision, signals and ends.

#include "platform/soak/soak_run.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;

/// What is shown of the log of a process that ended otherwise than told.
constexpr std::size_t ShownLogLines = 50;
constexpr std::size_t MaxLogLineBytes = 1'000;

} // namespace

void SoakRun::startHost(Host &host)
{
    ++host.incarnation;
    host.callerEndpoint.reset();
    host.isSuspended = false;
    host.expectsExit = false;
    host.isKilled = false;
    const auto index = static_cast<std::size_t>(&host - this->hosts.data());
    this->disturbHost(index);
    this->bounds.onHostInterrupted(index);
    host.logPath = this->options.directory + "/" + host.name + "-"
                   + std::to_string(host.incarnation) + ".log";
    host.process = std::make_unique<support::ChildProcess>(
            std::vector<std::string>{this->options.gatewayPath, "--settings", host.settingsPath},
            host.logPath);
}

void SoakRun::checkExit(Host &host)
{
    const int code = host.process->wait();
    if (host.expectsExit && (code == 0 || (host.isKilled && code == -SIGKILL)))
        return;
    std::deque<std::string> lines;
    std::istringstream log(host.process->output());
    for (std::string line; std::getline(log, line);) {
        lines.push_back(line.substr(0, MaxLogLineBytes));
        if (lines.size() > ShownLogLines)
            lines.pop_front();
    }
    std::string text = "unexpected exit: " + host.name + " ended "
                       + (code < 0 ? "by signal " : "with exit code ")
                       + std::to_string(std::abs(code))
                       + (host.expectsExit ? " after an operator's word" : " by itself") + ", seed "
                       + std::to_string(this->options.seed) + ", log " + host.logPath;
    for (const std::string &line : lines)
        text += "\n    " + line;
    this->checker.addViolation(text);
}

void SoakRun::superviseHosts()
{
    for (Host &host : this->hosts) {
        if (!host.process->running()) {
            this->checkExit(host);
            this->startHost(host);
        }
        if (host.callerEndpoint)
            continue;
        std::ifstream log(host.logPath);
        std::string line;
        if (!std::getline(log, line) || log.eof())
            continue;
        const Json event = Json::parse(line, nullptr, false);
        if (event.is_discarded() || !event.contains("callers"))
            continue;
        const auto port = [&event](const char *field) {
            const auto text = event.value(field, ":0");
            const int number = std::stoi(text.substr(text.rfind(':') + 1));
            return Endpoint{"127.0.0.1", static_cast<std::uint16_t>(number)};
        };
        host.callerEndpoint = port("callers");
        host.peerEndpoint = port("peers");
        host.operatorEndpoint = port("operators");
        this->disturbHost(static_cast<std::size_t>(&host - this->hosts.data()));
    }
}

void SoakRun::disturbHost(std::size_t host)
{
    this->bounds.setUndisturbedSince(host, this->loop.now());
}

void SoakRun::markInterrupted(std::size_t host)
{
    this->checker.onHostInterrupted(host);
    this->bounds.onHostInterrupted(host);
    this->disturbHost(host);
}

void SoakRun::suspendHost(std::size_t host)
{
    if (this->hosts[host].isSuspended || this->hosts[host].expectsExit)
        return;
    this->markInterrupted(host);
    this->hosts[host].isSuspended = true;
    this->hosts[host].process->signal(SIGSTOP);
    const std::uint64_t incarnation = this->hosts[host].incarnation;
    this->runAfter(this->randomFaultDuration(), [this, host, incarnation] {
        if (this->hosts[host].incarnation != incarnation)
            return;
        this->markInterrupted(host);
        this->hosts[host].process->signal(SIGCONT);
        this->hosts[host].isSuspended = false;
    });
}

void SoakRun::killHost(std::size_t host)
{
    this->markInterrupted(host);
    this->hosts[host].expectsExit = true;
    this->hosts[host].isKilled = true;
    this->hosts[host].process->signal(SIGKILL);
}

void SoakRun::shutDownHost(std::size_t host)
{
    if (this->hosts[host].isSuspended)
        return;
    this->shutDownAt.emplace(std::make_pair(host, this->hosts[host].incarnation), this->loop.now());
    this->hosts[host].expectsExit = true;
    this->hosts[host].process->signal(SIGTERM);
}

} // namespace dotterel::soak
