#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dotterel {

/// Bounds of a JSON text that another program wrote. Copying, serializing and destroying a value
/// recurse at each level of nesting, so that the depth is bounded before values are built.
struct JsonLimits
{
    std::size_t maxBytes = 16UL * 1024 * 1024;
    std::size_t maxDepth = 32;
};

/// Returns which limit \a text exceeds; nullopt if none. Does not check the grammar.
std::optional<std::string> findExceededLimit(std::string_view text, const JsonLimits &limits = {});

/// Parses JSON that another program wrote. Returns the reason, of bounded length, if \a text is
/// malformed or exceeds \a limits; never throws.
tl::expected<nlohmann::json, std::string> parseJson(std::string_view text,
                                                    const JsonLimits &limits = {});

/// Likewise; returns a discarded value if \a text cannot be used.
nlohmann::json parseJsonOrDiscard(std::string_view text, const JsonLimits &limits = {});

/// U+FDD0, a code point that is no character and that no text contains.
inline constexpr std::string_view InvalidCharacterMark = "\xEF\xB7\x90";

/// Returns \a text with InvalidCharacterMark in place of ill-formed UTF-8, and of control
/// characters within strings, so that one such string does not make the whole text malformed.
std::string markInvalidCharacters(std::string_view text);

/// Returns the start of \a text, for a log line or an error message. Cuts no UTF-8 sequence.
std::string shortened(std::string_view text);

/// Returns the integer that \a value holds. Throws nlohmann::json::other_error if it is none or
/// does not fit into Number.
template <typename Number>
Number toUnsigned(const nlohmann::json &value)
{
    if (!value.is_number_unsigned()
        || value.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw nlohmann::json::other_error::create(501, "number out of range", &value);
    return value.get<Number>();
}

/// Bounds of a number, inclusive.
template <typename Number>
struct NumberRange
{
    Number minimum = 0;
    Number maximum = 0;
};

using IntegerRange = NumberRange<std::uint64_t>;

/// Returns the integer \a name of \a object. Throws nlohmann::json::other_error, with the name, if
/// it is missing, no integer or out of \a range. A fraction of zero is accepted.
std::uint64_t requireInteger(const nlohmann::json &object, const char *name,
                             const IntegerRange &range);

/// Likewise; returns \a defaultValue if the field is missing or null.
std::uint64_t integerOr(const nlohmann::json &object, const char *name, std::uint64_t defaultValue,
                        const IntegerRange &range);

/// Returns the number \a name of \a object; nullopt if it is missing or null. Throws
/// nlohmann::json::other_error, with the name, if it is no number, not finite or out of \a range.
std::optional<double> findNumber(const nlohmann::json &object, const char *name,
                                 const NumberRange<double> &range);

} // namespace dotterel
