#pragma once

#include <cstdint>
#include <string>

namespace dotterel {

/// An IP address and a port.
struct Endpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    bool operator==(const Endpoint &other) const
    {
        return this->address == other.address && this->port == other.port;
    }
    bool operator<(const Endpoint &other) const
    {
        return this->address != other.address ? this->address < other.address
                                              : this->port < other.port;
    }

    /// Returns "address:port".
    std::string text() const { return this->address + ":" + std::to_string(this->port); }
};

/// Returns true if \a text is an IPv4 or IPv6 address, such as "10.0.0.1" or "::1". Settings and
/// configurations of operators may hold either; hosts and servers have IPv4 addresses.
bool isIpAddress(const std::string &text);

/// Returns true if \a text is an IPv4 address in dotted decimal, such as "10.0.0.1".
bool isIpv4Address(const std::string &text);

/// Returns true if \a text is the IPv4 address of a single host: neither a wildcard nor multicast
/// or broadcast.
bool isUnicastAddress(const std::string &text);

} // namespace dotterel
