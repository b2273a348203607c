#include "coordination/server_return.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr int ReportsToReturn = 3;

} // namespace

void ServerReturn::keep(const std::vector<ServerId> &draining)
{
    for (auto row = this->reportsInARow.begin(); row != this->reportsInARow.end();) {
        const bool kept = std::find(draining.begin(), draining.end(), row->first) != draining.end();
        row = kept ? std::next(row) : this->reportsInARow.erase(row);
    }
}

bool ServerReturn::onReport(const ServerId &server, bool draining)
{
    int &count = this->reportsInARow[server];
    count = draining ? 0 : count + 1;
    return count >= ReportsToReturn;
}

} // namespace dotterel
