#pragma once

#include "state/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// The kinds of objects in a configuration.
enum class ObjectKind {
    Workspace,
    RequestClass,
    Pool,
    Server,
    Policy,
};

/// Static properties of an ObjectKind.
struct ObjectKindInfo
{
    ObjectKind kind;
    std::string_view singular; ///< In messages, such as "workspace".
    std::string_view plural;   ///< On the command line, such as "workspaces".
    std::string_view jsonKey;  ///< In the JSON of a configuration.
};

/// Returns all rows of the table of kinds, in the order of the enum.
const std::vector<ObjectKindInfo> &objectKindTable();

/// Returns the properties of \a kind.
const ObjectKindInfo &objectKindInfo(ObjectKind kind);

/// Returns the kind whose plural is \a name, if there is one.
std::optional<ObjectKind> objectKindFromPlural(std::string_view name);

/// One property of an object, as text.
struct Property
{
    std::string name;
    std::string value;

    bool operator==(const Property &other) const
    {
        return this->name == other.name && this->value == other.value;
    }
};

/// One object of a configuration: its decided properties, without versions and times.
struct ConfigurationObject
{
    ObjectKind kind = ObjectKind::Workspace;
    std::string name;
    std::vector<Property> properties;

    /// Returns the kind and name, such as "workspace harinal".
    std::string title() const;
};

/// Returns all objects of \a configuration, by kind and then by name.
std::vector<ConfigurationObject> objectsOf(const Configuration &configuration);

/// What became of an object between two configurations.
enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/// One object that differs between two configurations.
struct Change
{
    ChangeKind change = ChangeKind::Changed;
    ConfigurationObject object;
    std::string detail; ///< The properties that it has now, or the old and new values.

    /// Returns a line such as "~ workspace harinal: share 1 -> 2".
    std::string text() const;
};

/// Returns what is different in \a after against \a before, by kind and then by name.
std::vector<Change> differences(const Configuration &before, const Configuration &after);

} // namespace dotterel
