#include "transport/header_value.h"

#include <algorithm>

namespace dotterel {

namespace {

bool isControlCharacter(char letter)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto byte = static_cast<unsigned char>(letter);
    return (byte < FirstPrintable && letter != '\t') || byte == Delete;
}

} // namespace

bool isHeaderValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), isControlCharacter);
}

} // namespace dotterel
