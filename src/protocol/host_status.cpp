#include "protocol/host_status.h"

#include "core/json_input.h"
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

nlohmann::ordered_json memberToJson(const MemberStatus &member)
{
    return {{"host", member.identity.host},
            {"incarnation", member.identity.incarnation},
            {"failure_domain", member.identity.failureDomain},
            {"configuration_version", member.configurationVersion},
            {"leaving", member.leaving}};
}

HostIdentity parseIdentity(const nlohmann::json &json)
{
    return {json.at("host").get<std::string>(), json.at("incarnation").get<Incarnation>(),
            json.at("failure_domain").get<std::string>()};
}

HostStatus parseStatus(const nlohmann::json &json)
{
    HostStatus status;
    status.identity = parseIdentity(json);
    status.configurationVersion = toUnsigned<std::uint64_t>(json.at("configuration_version"));
    status.shuttingDown = json.at("shutting_down").get<bool>();
    status.platformReachable = json.at("platform_reachable").get<bool>();
    status.requestsInFlight = toUnsigned<std::uint64_t>(json.at("requests_in_flight"));
    status.peerLinks = toUnsigned<std::uint64_t>(json.at("peer_links"));
    for (const nlohmann::json &item : json.at("members")) {
        status.members.push_back({parseIdentity(item),
                                  toUnsigned<std::uint64_t>(item.at("configuration_version")),
                                  item.at("leaving").get<bool>()});
    }
    for (const nlohmann::json &item : json.at("backend_servers")) {
        status.servers.push_back({item.at("id").get<std::string>(),
                                  item.at("pool").get<std::string>(),
                                  item.at("state").get<std::string>()});
    }
    return status;
}

} // namespace

std::string hostStatusToJson(const HostStatus &status)
{
    nlohmann::ordered_json json;
    json["host"] = status.identity.host;
    json["incarnation"] = status.identity.incarnation;
    json["failure_domain"] = status.identity.failureDomain;
    json["configuration_version"] = status.configurationVersion;
    json["shutting_down"] = status.shuttingDown;
    json["platform_reachable"] = status.platformReachable;
    json["requests_in_flight"] = status.requestsInFlight;
    json["peer_links"] = status.peerLinks;
    json["members"] = nlohmann::ordered_json::array();
    for (const MemberStatus &member : status.members)
        json["members"].push_back(memberToJson(member));
    json["backend_servers"] = nlohmann::ordered_json::array();
    for (const ServerStatus &server : status.servers) {
        json["backend_servers"].push_back(
                {{"id", server.id}, {"pool", server.pool}, {"state", server.state}});
    }
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

tl::expected<HostStatus, std::string> hostStatusFromJson(std::string_view text)
{
    try {
        return parseStatus(parseJsonOrDiscard(text));
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dotterel
