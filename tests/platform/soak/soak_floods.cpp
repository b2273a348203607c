// Measures a host whose servers answer without end.

#include "platform/soak/soak_run.h"

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int StreamCount = 60;
constexpr Duration StreamInterval = milliseconds(50);
constexpr Duration RunTime = seconds(8);

} // namespace

std::vector<Duration> SoakRun::executeFloods(std::size_t floods)
{
    std::vector<Duration> times;
    if (!this->startHosts())
        return times;
    for (SoakServer *server : this->activeServers) {
        if (server->poolName() == "orders")
            server->setFault(ServerFault::FloodResponses);
    }
    for (std::size_t index = 0; index < floods; ++index)
        this->sendRequest(0, index % 2 == 0 ? RequestKind::Lookup : RequestKind::Order);
    const std::uint64_t firstStream = this->nextRequestNumber;
    for (int index = 0; index < StreamCount; ++index) {
        this->sendRequest(0, RequestKind::ResumableStream);
        this->runLoopFor(StreamInterval);
        this->checkMemory();
    }
    const TimePoint end = this->loop.now() + RunTime;
    while (this->loop.now() < end) {
        this->runLoopFor(milliseconds(50));
        this->checkMemory();
    }
    for (std::uint64_t number = firstStream; number < this->nextRequestNumber; ++number) {
        const SoakRequest &stream = *this->checker.find("q" + std::to_string(number));
        if (stream.finished && stream.status.value_or(0) == 200)
            times.push_back(stream.finishedAt - stream.sentAt);
    }
    return times;
}

} // namespace dotterel::soak
