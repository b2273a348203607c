#pragma once

#include "store_stand.h"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Writes record.txt: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

private:
    std::mutex mutex;
    std::int64_t startedAt;
    std::ofstream file;
};

/// A gateway process, started with the command of the deploy file and a settings file made from its
/// template.
class Gateway
{
public:
    /// \a directory is for the settings file and the log of the process.
    Gateway(std::string name, std::string zone, const std::string &storeAddress,
            const std::string &directory);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void signal(int number) const;
    /// Waits for the end of the process, after a signal.
    void waitForEnd();

    /// Returns true if the process says that it is ready.
    bool isReady() const;
    bool waitUntilReady(int timeoutMs) const;

    std::uint16_t callers() const { return this->basePort; }
    const std::string &name() const { return this->hostName; }

private:
    std::string hostName;
    std::string zone;
    std::string storeAddress;
    std::string settingsPath;
    std::string logPath;
    std::uint16_t basePort = 0;
    pid_t process = -1;
};

/// Returns the limits and the one tenant of the deployment; routes and services are to be added.
nlohmann::json baseConfiguration(std::uint64_t version);

/// The key of the tenant and the host name of the routes.
inline const std::string ApiKey = "n2ctnfzs989anu6wsjnb";
inline const std::string HostName = "ficu95.example";

} // namespace review
