#include "operator_tools/configuration_objects.h"

#include <map>
#include <sstream>

namespace dotterel {

namespace {

using ObjectKey = std::pair<ObjectKind, std::string>;

std::string numberText(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

ConfigurationObject objectOf(const Workspace &workspace)
{
    return {ObjectKind::Workspace, workspace.name, {{"share", numberText(workspace.share)}}};
}

ConfigurationObject objectOf(const RequestClass &requestClass)
{
    return {ObjectKind::RequestClass,
            requestClass.name,
            {{"deadline-s", numberText(toSeconds(requestClass.deadline))},
             {"idempotent", yesOrNo(requestClass.idempotent)}}};
}

ConfigurationObject objectOf(const Pool &pool)
{
    return {ObjectKind::Pool, pool.name, {{"kind", std::string(poolKindName(pool.kind))}}};
}

ConfigurationObject objectOf(const BackendServer &server)
{
    return {ObjectKind::Server,
            server.id,
            {{"pool", server.pool},
             {"endpoint", server.endpoint.text()},
             {"failure-domain", server.failureDomain},
             {"memory-tokens", std::to_string(server.memoryTokens)},
             {"honours-fencing", yesOrNo(server.honoursFencing)},
             {"draining", yesOrNo(server.draining)}}};
}

ConfigurationObject objectOf(const PolicyWeights &policy)
{
    return {ObjectKind::Policy,
            "weights",
            {{"short-slowdown", numberText(policy.shortSlowdown)},
             {"first-token", numberText(policy.firstToken)}}};
}

std::map<ObjectKey, ConfigurationObject> keyed(const Configuration &configuration)
{
    std::map<ObjectKey, ConfigurationObject> objects;
    for (const ConfigurationObject &object : objectsOf(configuration))
        objects[{object.kind, object.name}] = object;
    return objects;
}

std::string allProperties(const ConfigurationObject &object)
{
    std::string text;
    for (const Property &property : object.properties)
        text += (text.empty() ? "" : ", ") + property.name + " " + property.value;
    return text;
}

std::string changedProperties(const ConfigurationObject &before, const ConfigurationObject &after)
{
    std::string text;
    for (std::size_t i = 0; i < after.properties.size(); ++i) {
        if (before.properties.at(i) == after.properties[i])
            continue;
        text += (text.empty() ? "" : ", ") + after.properties[i].name + " "
                + before.properties[i].value + " -> " + after.properties[i].value;
    }
    return text;
}

char markOf(ChangeKind change)
{
    switch (change) {
    case ChangeKind::Added:
        return '+';
    case ChangeKind::Removed:
        return '-';
    case ChangeKind::Changed:
        break;
    }
    return '~';
}

} // namespace

const std::vector<ObjectKindInfo> &objectKindTable()
{
    static const std::vector<ObjectKindInfo> table = {
            {ObjectKind::Workspace, "workspace", "workspaces", "workspaces"},
            {ObjectKind::RequestClass, "class", "classes", "requestClasses"},
            {ObjectKind::Pool, "pool", "pools", "pools"},
            {ObjectKind::Server, "server", "servers", "servers"},
            {ObjectKind::Policy, "policy", "policy", "policy"},
    };
    return table;
}

const ObjectKindInfo &objectKindInfo(ObjectKind kind)
{
    return objectKindTable().at(static_cast<std::size_t>(kind));
}

std::optional<ObjectKind> objectKindFromPlural(std::string_view name)
{
    for (const ObjectKindInfo &info : objectKindTable()) {
        if (info.plural == name)
            return info.kind;
    }
    return std::nullopt;
}

std::string ConfigurationObject::title() const
{
    return std::string(objectKindInfo(this->kind).singular) + " " + this->name;
}

std::vector<ConfigurationObject> objectsOf(const Configuration &configuration)
{
    std::vector<ConfigurationObject> objects;
    for (const auto &[name, workspace] : configuration.workspaces)
        objects.push_back(objectOf(workspace));
    for (const auto &[name, requestClass] : configuration.requestClasses)
        objects.push_back(objectOf(requestClass));
    for (const auto &[name, pool] : configuration.pools)
        objects.push_back(objectOf(pool));
    for (const auto &[id, server] : configuration.servers)
        objects.push_back(objectOf(server));
    objects.push_back(objectOf(configuration.policy));
    return objects;
}

std::string Change::text() const
{
    return std::string(1, markOf(this->change)) + " " + this->object.title() + ": " + this->detail;
}

std::vector<Change> differences(const Configuration &before, const Configuration &after)
{
    const std::map<ObjectKey, ConfigurationObject> old = keyed(before);
    std::map<ObjectKey, Change> changes;
    for (const auto &[key, object] : keyed(after)) {
        const auto known = old.find(key);
        if (known == old.end())
            changes[key] = {ChangeKind::Added, object, allProperties(object)};
        else if (known->second.properties != object.properties)
            changes[key] = {ChangeKind::Changed, object, changedProperties(known->second, object)};
    }
    const std::map<ObjectKey, ConfigurationObject> present = keyed(after);
    for (const auto &[key, object] : old) {
        if (present.count(key) == 0)
            changes[key] = {ChangeKind::Removed, object, allProperties(object)};
    }
    std::vector<Change> ordered;
    ordered.reserve(changes.size());
    for (const auto &[key, change] : changes)
        ordered.push_back(change);
    return ordered;
}

} // namespace dotterel
