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

/// One fault in a YAML document.
struct YamlFault
{
    std::string file;
    int line = 0; ///< Counted from 1; 0 when unknown.
    std::string key;
    std::string message; ///< What was wrong and what is allowed.

    /// Returns "file:line: key: message".
    std::string text() const;
};

/// Reads \a text, one YAML document in UTF-8 of at most \a mostBytes bytes. Returns an empty node
/// and adds to \a faults if it is none.
YAML::Node parseYaml(const std::string &text, const std::string &file, std::size_t mostBytes,
                     std::vector<YamlFault> &faults);

/// Reads the keys of one YAML map and collects every fault instead of stopping at the first.
class YamlMapReader
{
public:
    /// Reads \a node, called \a path in messages. Faults go to \a faults, the first of them if the
    /// node is no map or gives a key twice.
    YamlMapReader(const YAML::Node &node, std::string file, std::string path,
                  std::vector<YamlFault> &faults);

    /// Returns true if \a key is present.
    bool has(const std::string &key) const;

    /// Returns true if \a key is present and neither a map nor a list.
    bool isScalar(const std::string &key) const;

    /// Reads a string; it must not be empty. Keeps \a value if the key is absent.
    void readString(const std::string &key, std::string &value, bool required = false);

    /// Reads a number in [\a least, \a most].
    void readNumber(const std::string &key, double &value, double least, double most,
                    bool required = false);

    /// Reads a whole number in [\a least, \a most].
    void readInteger(const std::string &key, std::uint64_t &value, std::uint64_t least,
                     std::uint64_t most, bool required = false);

    /// Reads true or false.
    void readBoolean(const std::string &key, bool &value);

    /// Reads one of \a allowed.
    void readChoice(const std::string &key, std::string &value,
                    const std::vector<std::string> &allowed, bool required = false);

    /// Returns the elements of the list \a key, each a map.
    std::vector<YAML::Node> readMaps(const std::string &key);

    /// Returns the map \a key, or an empty node.
    YAML::Node readMap(const std::string &key);

    /// Reports every key that was not read, with the keys that are known.
    void rejectUnknownKeys();

    /// Adds a fault about \a key.
    void fault(const std::string &key, const std::string &message);

private:
    void rejectDuplicateKeys();
    int lineOf(const std::string &key) const;
    std::string pathOf(const std::string &key) const;
    bool scalar(const std::string &key, const std::string &expected, bool required,
                std::string &text);

    const YAML::Node &node;
    std::string file;
    std::string path;
    std::vector<YamlFault> &faults;
    std::vector<std::string> known;
};

} // namespace dotterel
