#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dotterel::support {

/// A process that a test runs; it is killed and reaped when the object goes.
class ChildProcess
{
public:
    /// Starts \a arguments; standard output and error go to the file \a outputPath.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends \a signalNumber.
    void signal(int signalNumber) const;

    /// Waits for the end and returns the exit code, or minus the number of the signal that ended
    /// it.
    int wait();

    /// Returns true while the process runs.
    bool running();

    /// Returns the id of the process.
    pid_t processId() const { return this->pid; }

    /// Returns the most memory that the running process has had resident, in megabytes.
    std::size_t peakMemoryMb() const;

    /// Returns what the process has written so far.
    std::string output() const;

private:
    void reap(int options);

    std::string outputPath;
    pid_t pid = 0;
    bool ended = false;
    int exitCode = 0;
};

} // namespace dotterel::support
