#include "coordination/server_return.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int RequiredReports = 3;

} // namespace

void ServerReturnDetector::retainOnly(const std::vector<ServerId> &draining)
{
    for (auto entry = this->consecutiveReadyReports.begin();
         entry != this->consecutiveReadyReports.end();) {
        const bool isDraining =
                std::find(draining.begin(), draining.end(), entry->first) != draining.end();
        entry = isDraining ? std::next(entry) : this->consecutiveReadyReports.erase(entry);
    }
}

bool ServerReturnDetector::onDrainReport(const ServerId &server, bool draining)
{
    int &reportCount = this->consecutiveReadyReports[server];
    reportCount = draining ? 0 : reportCount + 1;
    return reportCount >= RequiredReports;
}

} // namespace dotterel
