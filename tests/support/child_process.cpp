#include "support/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace dotterel::support {

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &outputPath)
    : outputPath(outputPath)
{
    std::vector<char *> raw;
    raw.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        raw.push_back(const_cast<char *>(argument.c_str()));
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->pid, raw[0], &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + arguments.front());
}

ChildProcess::~ChildProcess()
{
    if (!this->ended) {
        this->signal(SIGKILL);
        this->reap(0);
    }
}

void ChildProcess::signal(int signalNumber) const
{
    if (!this->ended)
        kill(this->pid, signalNumber);
}

int ChildProcess::wait()
{
    this->reap(0);
    return this->exitCode;
}

bool ChildProcess::running()
{
    this->reap(WNOHANG);
    return !this->ended;
}

std::size_t ChildProcess::peakMemoryMb() const
{
    constexpr std::size_t KbPerMb = 1024;
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string word;
    std::size_t kb = 0;
    while (status >> word) {
        if (word == "VmHWM:")
            status >> kb;
    }
    return kb / KbPerMb;
}

std::string ChildProcess::output() const
{
    std::ifstream file(this->outputPath);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void ChildProcess::reap(int options)
{
    if (this->ended)
        return;
    int status = 0;
    if (waitpid(this->pid, &status, options) != this->pid)
        return;
    this->ended = true;
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace dotterel::support
