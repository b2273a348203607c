#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace dotterel {

/// Maps an enumerator to its external name.
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Returns the name of \a value in \a table, or "unknown".
template <typename Enum, std::size_t Size>
constexpr std::string_view enumName(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const EnumName<Enum> &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Returns the enumerator whose name in \a table is \a name, if any.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumValue(const std::array<EnumName<Enum>, Size> &table,
                                        std::string_view name)
{
    for (const EnumName<Enum> &row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace dotterel
