#include "core/json_input.h"

#include <cmath>
#include <unicode/unistr.h>
#include <unicode/ustring.h>

namespace dotterel {

namespace {

constexpr std::size_t MaxShortenedBytes = 160;
constexpr UChar32 InvalidCharacterMarkCode = 0xFDD0;

bool isControlCharacter(char byte)
{
    return static_cast<unsigned char>(byte) < 0x20;
}

bool isContinuationByte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

/// Follows whether the bytes of a JSON text lie within a string.
class StringTracker
{
public:
    /// Returns true if \a byte is part of a string, other than its opening quote.
    bool feed(char byte)
    {
        if (!this->insideString) {
            this->insideString = byte == '"';
            return false;
        }
        if (this->escaped)
            this->escaped = false;
        else if (byte == '\\')
            this->escaped = true;
        else if (byte == '"')
            this->insideString = false;
        return true;
    }

private:
    bool insideString = false;
    bool escaped = false;
};

[[noreturn]] void throwFieldError(const nlohmann::json &object, const char *name,
                                  const std::string &defect)
{
    throw nlohmann::json::other_error::create(503, "field \"" + std::string(name) + "\" " + defect,
                                              &object);
}

bool hasField(const nlohmann::json &object, const char *name)
{
    const auto field = object.is_object() ? object.find(name) : object.end();
    return field != object.end() && !field->is_null();
}

/// Returns the integer that \a value holds, if it is one and fits.
std::optional<std::uint64_t> integerOf(const nlohmann::json &value)
{
    if (value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0))
        return value.get<std::uint64_t>();
    if (!value.is_number_float())
        return std::nullopt;
    constexpr double FirstAboveExactIntegers = 9007199254740992.0; // 2^53
    const double number = value.get<double>();
    const bool isInteger =
            number >= 0 && number < FirstAboveExactIntegers && std::trunc(number) == number;
    return isInteger ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(number))
                     : std::nullopt;
}

} // namespace

std::optional<std::string> findExceededLimit(std::string_view text, const JsonLimits &limits)
{
    if (text.size() > limits.maxBytes)
        return std::to_string(text.size()) + " bytes, at most " + std::to_string(limits.maxBytes)
               + " are read";
    StringTracker strings;
    std::size_t depth = 0;
    for (const char byte : text) {
        if (strings.feed(byte))
            continue;
        if (byte == '[' || byte == '{')
            ++depth;
        else if ((byte == ']' || byte == '}') && depth > 0)
            --depth;
        if (depth > limits.maxDepth)
            return "nested more than " + std::to_string(limits.maxDepth) + " levels deep";
    }
    return std::nullopt;
}

tl::expected<nlohmann::json, std::string> parseJson(std::string_view text, const JsonLimits &limits)
{
    if (const std::optional<std::string> excess = findExceededLimit(text, limits))
        return tl::unexpected(*excess);
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(shortened(error.what()));
    }
}

nlohmann::json parseJsonOrDiscard(std::string_view text, const JsonLimits &limits)
{
    auto parsed = parseJson(text, limits);
    return parsed ? std::move(*parsed) : nlohmann::json(nlohmann::json::value_t::discarded);
}

std::string markInvalidCharacters(std::string_view text)
{
    // One UTF-16 unit at most comes from each byte.
    icu::UnicodeString utf16;
    const auto size = static_cast<std::int32_t>(text.size());
    std::int32_t length = 0;
    std::int32_t substitutions = 0;
    UErrorCode status = U_ZERO_ERROR;
    u_strFromUTF8WithSub(utf16.getBuffer(size), size, &length, text.data(), size,
                         InvalidCharacterMarkCode, &substitutions, &status);
    utf16.releaseBuffer(U_SUCCESS(status) ? length : 0);
    std::string valid;
    utf16.toUTF8String(valid);
    std::string result;
    result.reserve(valid.size());
    StringTracker strings;
    for (const char byte : valid) {
        if (strings.feed(byte) && isControlCharacter(byte))
            result.append(InvalidCharacterMark);
        else
            result.push_back(byte);
    }
    return result;
}

std::string shortened(std::string_view text)
{
    if (text.size() <= MaxShortenedBytes)
        return std::string(text);
    std::size_t length = MaxShortenedBytes;
    while (length > 0 && isContinuationByte(text[length]))
        --length;
    return std::string(text.substr(0, length)) + "...";
}

std::uint64_t requireInteger(const nlohmann::json &object, const char *name,
                             const IntegerRange &range)
{
    const auto field = object.is_object() ? object.find(name) : object.end();
    if (field == object.end())
        throwFieldError(object, name, "is missing");
    const std::optional<std::uint64_t> value = integerOf(*field);
    if (!value || *value < range.minimum || *value > range.maximum)
        throwFieldError(object, name,
                        "is no integer from " + std::to_string(range.minimum) + " to "
                                + std::to_string(range.maximum));
    return *value;
}

std::uint64_t integerOr(const nlohmann::json &object, const char *name, std::uint64_t defaultValue,
                        const IntegerRange &range)
{
    return hasField(object, name) ? requireInteger(object, name, range) : defaultValue;
}

std::optional<double> findNumber(const nlohmann::json &object, const char *name,
                                 const NumberRange<double> &range)
{
    if (!hasField(object, name))
        return std::nullopt;
    const nlohmann::json &field = object.at(name);
    const double value = field.is_number() ? field.get<double>() : std::nan("");
    if (!(value >= range.minimum && value <= range.maximum))
        throwFieldError(object, name, "is no number in its range");
    return value;
}

} // namespace dotterel
