#include "transport/endpoint.h"

#include <arpa/inet.h>
#include <optional>

namespace dotterel {

namespace {

/// Returns \a text as an address in host byte order.
std::optional<std::uint32_t> parseIpv4Address(const std::string &text)
{
    in_addr number{};
    // inet_pton() stops at a NUL.
    if (text.find('\0') != std::string::npos || inet_pton(AF_INET, text.c_str(), &number) != 1)
        return std::nullopt;
    return ntohl(number.s_addr);
}

} // namespace

bool isIpAddress(const std::string &text)
{
    in6_addr number{};
    return isIpv4Address(text)
           || (text.find('\0') == std::string::npos
               && inet_pton(AF_INET6, text.c_str(), &number) == 1);
}

bool isIpv4Address(const std::string &text)
{
    return parseIpv4Address(text).has_value();
}

bool isUnicastAddress(const std::string &text)
{
    constexpr std::uint32_t FirstHostAddress = 0x01000000;      // 1.0.0.0
    constexpr std::uint32_t FirstMulticastAddress = 0xE0000000; // 224.0.0.0
    const std::optional<std::uint32_t> address = parseIpv4Address(text);
    return address && *address >= FirstHostAddress && *address < FirstMulticastAddress;
}

} // namespace dotterel
