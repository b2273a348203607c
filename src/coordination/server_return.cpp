#include "coordination/server_return.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int RequiredReports = 3;

} // namespace

void ServerReturn::keep(const std::vector<ServerId> &draining)
{
    for (auto entry = this->reportsInARow.begin(); entry != this->reportsInARow.end();) {
        const bool isDraining =
                std::find(draining.begin(), draining.end(), entry->first) != draining.end();
        entry = isDraining ? std::next(entry) : this->reportsInARow.erase(entry);
    }
}

bool ServerReturn::onReport(const ServerId &server, bool draining)
{
    int &reportCount = this->reportsInARow[server];
    reportCount = draining ? 0 : reportCount + 1;
    return reportCount >= RequiredReports;
}

} // namespace dotterel
