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

std::string formatNumber(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (!text.empty() && text.back() == '.')
        text.pop_back();
    return text;
}

/// Throws when a document produces more parser events than its size allows. For some input with an
/// unclosed bracket yaml-cpp emits events endlessly.
class EventLimiter : public YAML::EventHandler
{
public:
    explicit EventLimiter(std::size_t limit)
        : remainingEvents(limit)
    {}

    void OnDocumentStart(const YAML::Mark &mark) override { this->countEvent(mark); }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        this->countEvent(mark);
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        this->countEvent(mark);
    }
    void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                  const std::string & /*value*/) override
    {
        this->countEvent(mark);
    }
    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/,
                         YAML::anchor_t /*anchor*/, YAML::EmitterStyle::value /*style*/) override
    {
        this->countEvent(mark);
    }
    void OnSequenceEnd() override {}
    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->countEvent(mark);
    }
    void OnMapEnd() override {}

private:
    void countEvent(const YAML::Mark &mark)
    {
        if (this->remainingEvents == 0)
            throw YAML::ParserException(mark, "a bracket is not closed");
        --this->remainingEvents;
    }

    std::size_t remainingEvents;
};

void checkEventCount(const std::string &text)
{
    constexpr std::size_t EventsPerByte = 4;
    constexpr std::size_t MinEventLimit = 16;
    EventLimiter limit(text.size() * EventsPerByte + MinEventLimit);
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(limit)) {
    }
}

std::string commaSeparated(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

YAML::Node parseYaml(const std::string &text, const std::string &file, std::size_t maxBytes,
                     std::vector<YamlError> &errors)
{
    if (text.size() > maxBytes) {
        errors.push_back({file, 0, "",
                          "has " + std::to_string(text.size()) + " bytes; at most "
                                  + std::to_string(maxBytes) + " are allowed"});
        return {};
    }
    if (!isUtf8(text)) {
        errors.push_back({file, 0, "", "is not UTF-8"});
        return {};
    }
    try {
        checkEventCount(text);
        const std::vector<YAML::Node> documents = YAML::LoadAll(text);
        if (documents.size() == 1)
            return documents.front();
        errors.push_back({file, 0, "",
                          documents.empty() ? "is empty; it must be a map of keys and "
                                              "values"
                                            : "must be one YAML document only"});
    } catch (const YAML::Exception &error) {
        errors.push_back({file, error.mark.line + 1, "", error.msg});
    }
    return {};
}

std::string YamlError::text() const
{
    const std::string lineSuffix = this->line > 0 ? ":" + std::to_string(this->line) : "";
    const std::string keyPrefix = this->key.empty() ? "" : this->key + ": ";
    return this->file + lineSuffix + ": " + keyPrefix + this->message;
}

YamlMapReader::YamlMapReader(const YAML::Node &node, std::string file, std::string path,
                             std::vector<YamlError> &errors)
    : node(node)
    , file(std::move(file))
    , path(std::move(path))
    , errors(errors)
{
    if (!this->node.IsMap())
        this->errors.push_back({this->file, this->node.Mark().line + 1, this->path,
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
    if (!this->readScalar(key, "a string", required, text))
        return;
    if (text.empty())
        this->addError(key, "must not be empty");
    else
        value = text;
}

void YamlMapReader::readNumber(const std::string &key, double &value, double minimum,
                               double maximum, bool required)
{
    const std::string allowed =
            "a number from " + formatNumber(minimum) + " to " + formatNumber(maximum);
    std::string text;
    if (!this->readScalar(key, allowed, required, text))
        return;
    char *end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    const bool isNumber = end != text.c_str() && *end == '\0' && std::isfinite(number);
    if (!isNumber || number < minimum || number > maximum)
        this->addError(key, "must be " + allowed + ", not \"" + text + "\"");
    else
        value = number;
}

void YamlMapReader::readInteger(const std::string &key, std::uint64_t &value, std::uint64_t minimum,
                                std::uint64_t maximum, bool required)
{
    const std::string allowed =
            "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    std::string text;
    if (!this->readScalar(key, allowed, required, text))
        return;
    const bool isInteger = !text.empty() && text.size() <= 19
                           && text.find_first_not_of("0123456789") == std::string::npos;
    const std::uint64_t number = isInteger ? std::strtoull(text.c_str(), nullptr, 10) : 0;
    if (!isInteger || number < minimum || number > maximum)
        this->addError(key, "must be " + allowed + ", not \"" + text + "\"");
    else
        value = number;
}

void YamlMapReader::readBoolean(const std::string &key, bool &value)
{
    std::string text;
    if (!this->readScalar(key, "true or false", false, text))
        return;
    if (text == "true" || text == "false")
        value = text == "true";
    else
        this->addError(key, "must be true or false, not \"" + text + "\"");
}

void YamlMapReader::readChoice(const std::string &key, std::string &value,
                               const std::vector<std::string> &allowed, bool required)
{
    std::string text;
    if (!this->readScalar(key, "one of " + commaSeparated(allowed), required, text))
        return;
    if (std::find(allowed.begin(), allowed.end(), text) == allowed.end())
        this->addError(key, "must be one of " + commaSeparated(allowed) + ", not \"" + text + "\"");
    else
        value = text;
}

std::vector<YAML::Node> YamlMapReader::readMapList(const std::string &key)
{
    this->knownKeys.push_back(key);
    std::vector<YAML::Node> maps;
    if (!this->has(key))
        return maps;
    const YAML::Node list = this->node[key];
    if (!list.IsSequence()) {
        this->addError(key, "must be a list");
        return maps;
    }
    for (const YAML::Node &element : list)
        maps.push_back(element);
    return maps;
}

YAML::Node YamlMapReader::readMap(const std::string &key)
{
    this->knownKeys.push_back(key);
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
        if (std::find(this->knownKeys.begin(), this->knownKeys.end(), key) != this->knownKeys.end())
            continue;
        this->errors.push_back({this->file, entry.first.Mark().line + 1, this->pathOfKey(key),
                                "unknown key; known keys are " + commaSeparated(this->knownKeys)});
    }
}

void YamlMapReader::addError(const std::string &key, const std::string &message)
{
    this->errors.push_back({this->file, this->lineOfKey(key), this->pathOfKey(key), message});
}

void YamlMapReader::rejectDuplicateKeys()
{
    std::set<std::string> seenKeys;
    for (const auto &entry : this->node) {
        const bool isScalarKey = entry.first.IsScalar();
        if (isScalarKey && !seenKeys.insert(entry.first.Scalar()).second)
            this->errors.push_back({this->file, entry.first.Mark().line + 1,
                                    this->pathOfKey(entry.first.Scalar()),
                                    "the key is given twice"});
    }
}

int YamlMapReader::lineOfKey(const std::string &key) const
{
    if (this->has(key))
        return this->node[key].Mark().line + 1;
    return this->node.Mark().line + 1;
}

std::string YamlMapReader::pathOfKey(const std::string &key) const
{
    return this->path.empty() ? key : this->path + "." + key;
}

bool YamlMapReader::readScalar(const std::string &key, const std::string &expected, bool required,
                               std::string &text)
{
    this->knownKeys.push_back(key);
    if (!this->has(key)) {
        if (required)
            this->addError(key, "is missing; it must be " + expected);
        return false;
    }
    const YAML::Node value = this->node[key];
    if (!value.IsScalar()) {
        this->addError(key, "must be " + expected);
        return false;
    }
    text = value.Scalar();
    return true;
}

} // namespace dotterel
