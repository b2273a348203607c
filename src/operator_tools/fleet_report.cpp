#include "operator_tools/fleet_report.h"

#include "operator_tools/text_table.h"

#include <map>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

/// How many hosts see a backend server in each state.
struct ServerView
{
    std::string pool;
    std::map<std::string, std::size_t> hostsByState;
};

std::map<ServerId, ServerView> serverViews(const std::vector<HostReading> &hosts)
{
    std::map<ServerId, ServerView> views;
    for (const HostReading &reading : hosts) {
        if (!reading.status)
            continue;
        for (const ServerStatus &server : reading.status->servers) {
            views[server.id].pool = server.pool;
            ++views[server.id].hostsByState[server.state];
        }
    }
    return views;
}

std::string stateOf(const HostReading &reading)
{
    if (!reading.status)
        return "unreachable: " + reading.status.error();
    if (reading.status->shuttingDown)
        return "draining";
    return reading.status->configurationVersion == 0 ? "no configuration" : "ready";
}

std::vector<std::string> hostRow(const HostReading &reading)
{
    std::vector<std::string> row = {reading.host.id, reading.host.failureDomain};
    if (reading.status) {
        row.push_back(std::to_string(reading.status->configurationVersion));
        row.push_back(std::to_string(reading.status->requestsInFlight));
        row.push_back(std::to_string(reading.status->members.size()));
        row.emplace_back(reading.status->platformReachable ? "yes" : "no");
    } else {
        row.insert(row.end(), {"-", "-", "-", "-"});
    }
    row.push_back(stateOf(reading));
    return row;
}

std::string countsText(const std::map<std::string, std::size_t> &counts)
{
    std::string text;
    for (const auto &[state, hosts] : counts)
        text += (text.empty() ? "" : ", ") + state + " for " + std::to_string(hosts);
    return text;
}

nlohmann::ordered_json hostJson(const HostReading &reading)
{
    nlohmann::ordered_json json;
    json["host"] = reading.host.id;
    json["failure_domain"] = reading.host.failureDomain;
    json["listed_as_leaving"] = reading.host.leaving;
    json["reachable"] = reading.status.has_value();
    if (reading.status)
        json["status"] = nlohmann::ordered_json::parse(hostStatusToJson(*reading.status));
    else
        json["error"] = reading.status.error();
    return json;
}

} // namespace

std::string FleetReport::text() const
{
    const std::string version = this->storedVersionError.empty()
                                        ? std::to_string(this->storedVersion)
                                        : "unknown: " + this->storedVersionError;
    std::vector<std::vector<std::string>> hostRows = {
            {"HOST", "DOMAIN", "VERSION", "REQUESTS", "MEMBERS", "PLATFORM", "STATE"}};
    for (const HostReading &reading : this->hosts)
        hostRows.push_back(hostRow(reading));
    std::vector<std::vector<std::string>> serverRows = {{"SERVER", "POOL", "STATE BY HOSTS"}};
    for (const auto &[id, view] : serverViews(this->hosts))
        serverRows.push_back({id, view.pool, countsText(view.hostsByState)});
    return "stored configuration: " + version + "\n\n" + textTable(hostRows) + "\n"
           + textTable(serverRows);
}

std::string FleetReport::json() const
{
    nlohmann::ordered_json json;
    if (this->storedVersionError.empty())
        json["stored_version"] = this->storedVersion;
    else
        json["stored_version_error"] = this->storedVersionError;
    json["hosts"] = nlohmann::ordered_json::array();
    for (const HostReading &reading : this->hosts)
        json["hosts"].push_back(hostJson(reading));
    json["backend_servers"] = nlohmann::ordered_json::array();
    for (const auto &[id, view] : serverViews(this->hosts)) {
        json["backend_servers"].push_back(
                {{"id", id}, {"pool", view.pool}, {"hosts_by_state", view.hostsByState}});
    }
    return json.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

} // namespace dotterel
