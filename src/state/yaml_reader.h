#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {
class Node;
}

namespace dotterel {

/// An error in a YAML document.
struct YamlError
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 if unknown.
    std::string key;
    std::string message; ///< Describes the error and the allowed values.

    /// Returns "file:line: key: message".
    std::string text() const;
};

/// Parses \a text, one YAML document in UTF-8 of at most \a maxBytes bytes. On failure returns an
/// empty node and adds an error to \a errors.
YAML::Node parseYaml(const std::string &text, const std::string &file, std::size_t maxBytes,
                     std::vector<YamlError> &errors);

/// Reads the keys of one YAML map and collects all errors instead of stopping at the first.
class YamlMapReader
{
public:
    /// Reads \a node, which error messages name \a path. Errors are added to \a errors, also by the
    /// constructor: for a node that is not a map and for duplicate keys.
    YamlMapReader(const YAML::Node &node, std::string file, std::string path,
                  std::vector<YamlError> &errors);

    /// Returns true if \a key is present.
    bool has(const std::string &key) const;

    /// Returns true if \a key is present and its value is neither a map nor a list.
    bool isScalar(const std::string &key) const;

    /// Reads a non-empty string. Like all readers leaves \a value unchanged if the key is absent.
    void readString(const std::string &key, std::string &value, bool required = false);

    /// Reads a number in [\a minimum, \a maximum].
    void readNumber(const std::string &key, double &value, double minimum, double maximum,
                    bool required = false);

    /// Reads an integer in [\a minimum, \a maximum].
    void readInteger(const std::string &key, std::uint64_t &value, std::uint64_t minimum,
                     std::uint64_t maximum, bool required = false);

    /// Reads a boolean, `true` or `false`.
    void readBoolean(const std::string &key, bool &value);

    /// Reads a string that must be one of \a allowed.
    void readChoice(const std::string &key, std::string &value,
                    const std::vector<std::string> &allowed, bool required = false);

    /// Returns the elements of the list \a key; the caller checks that each is a map.
    std::vector<YAML::Node> readMapList(const std::string &key);

    /// Returns the value of \a key, or an empty map if the key is absent.
    YAML::Node readMap(const std::string &key);

    /// Adds an error for each key that no call has read; the message lists the known keys.
    void rejectUnknownKeys();

    /// Adds an error for \a key.
    void addError(const std::string &key, const std::string &message);

private:
    void rejectDuplicateKeys();
    int lineOfKey(const std::string &key) const;
    std::string pathOfKey(const std::string &key) const;
    bool readScalar(const std::string &key, const std::string &expected, bool required,
                    std::string &text);

    const YAML::Node &node;
    std::string file;
    std::string path;
    std::vector<YamlError> &errors;
    std::vector<std::string> knownKeys;
};

} // namespace dotterel
