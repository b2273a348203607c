#include "state/yaml_reader.h"

#include "state/text_file.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace dotterel {

namespace {

std::string numberText(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (!text.empty() && text.back() == '.')
        text.pop_back();
    return text;
}

/// Counts the events of a document and throws when there are more than its bytes can mean: for some
/// input with an open bracket yaml-cpp makes events without end.
class EventLimit : public YAML::EventHandler
{
public:
    explicit EventLimit(std::size_t limit)
        : left(limit)
    {}

    void OnDocumentStart(const YAML::Mark &mark) override { this->count(mark); }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override { this->count(mark); }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override { this->count(mark); }
    void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                  const std::string & /*value*/) override
    {
        this->count(mark);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/,
                         YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {
        this->count(mark);
    }
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->count(mark);
    }
    void OnMapEnd() override {}

private:
    void count(const YAML::Mark &mark)
    {
        if (this->left == 0)
            throw YAML::ParserException(mark, "a bracket is not closed");
        --this->left;
    }

    std::size_t left;
};

void checkEventCount(const std::string &text)
{
    constexpr std::size_t EventsPerByte = 4;
    constexpr std::size_t EventsOfNothing = 16;
    EventLimit limit(text.size() * EventsPerByte + EventsOfNothing);
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(limit)) {
    }
}

std::string joined(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

YAML::Node parseYaml(const std::string &text, const std::string &file, std::size_t mostBytes,
                     std::vector<YamlFault> &faults)
{
    if (text.size() > mostBytes) {
        faults.push_back({file, 0, "",
                          "has " + std::to_string(text.size()) + " bytes; at most "
                                  + std::to_string(mostBytes) + " are read"});
        return {};
    }
    if (!isUtf8(text)) {
        faults.push_back({file, 0, "", "is not UTF-8"});
        return {};
    }
    try {
        checkEventCount(text);
        const std::vector<YAML::Node> documents = YAML::LoadAll(text);
        if (documents.size() == 1)
            return documents.front();
        faults.push_back({file, 0, "",
                          documents.empty() ? "is empty; it must be a map of keys and "
                                              "values"
                                            : "must be one YAML document only"});
    } catch (const YAML::Exception &error) {
        faults.push_back({file, error.mark.line + 1, "", error.msg});
    }
    return {};
}

std::string YamlFault::text() const
{
    const std::string place = this->line > 0 ? ":" + std::to_string(this->line) : "";
    const std::string name = this->key.empty() ? "" : this->key + ": ";
    return this->file + place + ": " + name + this->message;
}

YamlMapReader::YamlMapReader(const YAML::Node &node, std::string file, std::string path,
                             std::vector<YamlFault> &faults)
    : node(node)
    , file(std::move(file))
    , path(std::move(path))
    , faults(faults)
{
    if (!this->node.IsMap())
        this->faults.push_back({this->file, this->node.Mark().line + 1, this->path,
                                "must be a map of keys and values"});
    else
        this->rejectDuplicateKeys();
}

bool YamlMapReader::has(const std::string &key) const
{
    return this->node.IsMap() && this->node[key].IsDefined();
}

bool YamlMapReader::isScalar(const std::string &key) const
{
    return this->has(key) && this->node[key].IsScalar();
}

void YamlMapReader::readString(const std::string &key, std::string &value, bool required)
{
    std::string text;
    if (!this->scalar(key, "a string", required, text))
        return;
    if (text.empty())
        this->fault(key, "must not be empty");
    else
        value = text;
}

void YamlMapReader::readNumber(const std::string &key, double &value, double least, double most,
                               bool required)
{
    const std::string allowed = "a number from " + numberText(least) + " to " + numberText(most);
    std::string text;
    if (!this->scalar(key, allowed, required, text))
        return;
    char *end = nullptr;
    const double parsed = std::strtod(text.c_str(), &end);
    const bool whole = end != text.c_str() && *end == '\0' && std::isfinite(parsed);
    if (!whole || parsed < least || parsed > most)
        this->fault(key, "must be " + allowed + ", not \"" + text + "\"");
    else
        value = parsed;
}

void YamlMapReader::readInteger(const std::string &key, std::uint64_t &value, std::uint64_t least,
                                std::uint64_t most, bool required)
{
    const std::string allowed =
            "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    std::string text;
    if (!this->scalar(key, allowed, required, text))
        return;
    const bool digits = !text.empty() && text.size() <= 19
                        && text.find_first_not_of("0123456789") == std::string::npos;
    const std::uint64_t parsed = digits ? std::strtoull(text.c_str(), nullptr, 10) : 0;
    if (!digits || parsed < least || parsed > most)
        this->fault(key, "must be " + allowed + ", not \"" + text + "\"");
    else
        value = parsed;
}

void YamlMapReader::readBoolean(const std::string &key, bool &value)
{
    std::string text;
    if (!this->scalar(key, "true or false", false, text))
        return;
    if (text == "true" || text == "false")
        value = text == "true";
    else
        this->fault(key, "must be true or false, not \"" + text + "\"");
}

void YamlMapReader::readChoice(const std::string &key, std::string &value,
                               const std::vector<std::string> &allowed, bool required)
{
    std::string text;
    if (!this->scalar(key, "one of " + joined(allowed), required, text))
        return;
    if (std::find(allowed.begin(), allowed.end(), text) == allowed.end())
        this->fault(key, "must be one of " + joined(allowed) + ", not \"" + text + "\"");
    else
        value = text;
}

std::vector<YAML::Node> YamlMapReader::readMaps(const std::string &key)
{
    this->known.push_back(key);
    std::vector<YAML::Node> maps;
    if (!this->has(key))
        return maps;
    const YAML::Node list = this->node[key];
    if (!list.IsSequence()) {
        this->fault(key, "must be a list");
        return maps;
    }
    for (const YAML::Node &element : list)
        maps.push_back(element);
    return maps;
}

YAML::Node YamlMapReader::readMap(const std::string &key)
{
    this->known.push_back(key);
    if (!this->has(key))
        return YAML::Node(YAML::NodeType::Map);
    return this->node[key];
}

void YamlMapReader::rejectUnknownKeys()
{
    if (!this->node.IsMap())
        return;
    for (const auto &entry : this->node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (std::find(this->known.begin(), this->known.end(), key) != this->known.end())
            continue;
        this->faults.push_back({this->file, entry.first.Mark().line + 1, this->pathOf(key),
                                "unknown key; known keys are " + joined(this->known)});
    }
}

void YamlMapReader::fault(const std::string &key, const std::string &message)
{
    this->faults.push_back({this->file, this->lineOf(key), this->pathOf(key), message});
}

void YamlMapReader::rejectDuplicateKeys()
{
    std::set<std::string> seen;
    for (const auto &entry : this->node) {
        const bool scalar = entry.first.IsScalar();
        if (scalar && !seen.insert(entry.first.Scalar()).second)
            this->faults.push_back({this->file, entry.first.Mark().line + 1,
                                    this->pathOf(entry.first.Scalar()), "the key is given twice"});
    }
}

int YamlMapReader::lineOf(const std::string &key) const
{
    if (this->has(key))
        return this->node[key].Mark().line + 1;
    return this->node.Mark().line + 1;
}

std::string YamlMapReader::pathOf(const std::string &key) const
{
    return this->path.empty() ? key : this->path + "." + key;
}

bool YamlMapReader::scalar(const std::string &key, const std::string &expected, bool required,
                           std::string &text)
{
    this->known.push_back(key);
    if (!this->has(key)) {
        if (required)
            this->fault(key, "is missing; it must be " + expected);
        return false;
    }
    const YAML::Node value = this->node[key];
    if (!value.IsScalar()) {
        this->fault(key, "must be " + expected);
        return false;
    }
    text = value.Scalar();
    return true;
}

} // namespace dotterel
