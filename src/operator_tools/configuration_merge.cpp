#include "operator_tools/configuration_merge.h"

#include <algorithm>

namespace dotterel {

namespace {

template <typename Value>
void overlay(std::map<std::string, Value> &values, const std::map<std::string, Value> &over,
             MissingObjects missing)
{
    if (missing == MissingObjects::Remove)
        values.clear();
    for (const auto &[name, value] : over)
        values[name] = value;
}

bool isSheetObject(ObjectKind kind)
{
    return kind == ObjectKind::Workspace || kind == ObjectKind::RequestClass;
}

} // namespace

Merge mergeFile(const Configuration &stored, const Configuration &file, MissingObjects missing,
                WallMilliseconds now)
{
    Merge merge;
    for (const Change &change : differences(stored, file)) {
        if (change.change == ChangeKind::Removed)
            merge.missing.push_back(change.object);
    }
    merge.merged = stored;
    overlay(merge.merged.workspaces, file.workspaces, missing);
    overlay(merge.merged.requestClasses, file.requestClasses, missing);
    overlay(merge.merged.pools, file.pools, missing);
    overlay(merge.merged.servers, file.servers, missing);
    merge.merged.policy = file.policy;
    stampChanges(stored, merge.merged, now);
    return merge;
}

void stampChanges(const Configuration &stored, Configuration &configuration, WallMilliseconds now)
{
    for (auto &[name, workspace] : configuration.workspaces) {
        const auto known = stored.workspaces.find(name);
        workspace.changedAt = known == stored.workspaces.end() ? now : known->second.changedAt;
    }
    for (auto &[name, requestClass] : configuration.requestClasses) {
        const auto known = stored.requestClasses.find(name);
        requestClass.changedAt =
                known == stored.requestClasses.end() ? now : known->second.changedAt;
    }
    for (const Change &change : differences(stored, configuration)) {
        const std::string &name = change.object.name;
        if (change.change == ChangeKind::Removed) {
            if (isSheetObject(change.object.kind))
                configuration.sheetExportedAt = std::max(configuration.sheetExportedAt, now);
        } else if (change.object.kind == ObjectKind::Workspace) {
            configuration.workspaces.at(name).changedAt = now;
        } else if (change.object.kind == ObjectKind::RequestClass) {
            configuration.requestClasses.at(name).changedAt = now;
        }
    }
}

} // namespace dotterel
