#pragma once

#include <string>
#include <vector>

namespace dotterel::support {

/// Texts that are no IPv4 address.
inline std::vector<std::string> oddAddresses()
{
    return {"::1",
            "[::1]",
            "::ffff:127.0.0.1",
            "fe80::1%lo",
            "nowhere",
            "localhost",
            "",
            " ",
            "127.1",
            "127.0.0.1:9",
            "0.0.0.0:0",
            "127.0.0.256",
            " 127.0.0.1",
            std::string("127.0.0.1\0", 10),
            std::string("\xc3\xa9\0", 3),
            "127.0.0.1\r\nX: y",
            std::string(100'000, 'a')};
}

/// Addresses of servers that ended hosts, or stood beside the end of hosts in their logs.
inline std::vector<std::string> recordedServerAddresses()
{
    return {"::1:9",   "[::1]:9", "::ffff:127.0.0.1:9", "127.0.0.1:http", "127.0.0.1:65536",
            "nowhere", ""};
}

/// Addresses of servers, with port, which other writers have left or could leave in entries.
inline std::vector<std::string> oddServerAddresses()
{
    std::vector<std::string> addresses = {"127.0.0.1:http",
                                          "127.0.0.1:65536",
                                          "127.0.0.1:0",
                                          "127.0.0.1:-1",
                                          "127.0.0.1:",
                                          "127.0.0.1",
                                          "0.0.0.0:9",
                                          "224.0.0.1:9",
                                          "255.255.255.255:9",
                                          "nowhere",
                                          "",
                                          ":9"};
    for (const std::string &address : oddAddresses())
        addresses.push_back(address + ":9");
    return addresses;
}

/// JSON texts that no field of an entry expects, with some that a few do.
inline std::vector<std::string> oddJsonTexts()
{
    return {"null",    "{}",          "[]",           "\"\"",  "true",
            "-1",      "0",           "1e400",        "70000", "18446744073709551616",
            "\"odd\"", R"("\ud800")", "\"\xff\xfe\"", "0.5",   "[{}]"};
}

} // namespace dotterel::support
