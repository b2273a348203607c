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

/// Heads of requests that are wrong, odd or cut.
inline std::vector<std::string> oddRequests()
{
    const std::string start = "POST /order/1 HTTP/1.1\r\nHost: soak.example\r\n";
    return {"",
            "\x16\x03\x01\x02",
            std::string(300, 0),
            "\r\n\r\n\r\n",
            "GET",
            "GET / HTTP/9.9\r\n\r\n",
            "GET http://:99999/%zz%00 HTTP/1.1\r\nHost: \x01\r\n\r\n",
            start + "X: a\x01\x7f\xff\r\n\r\n",
            start + "X: a\rb\r\n\r\n",
            start + ": empty\r\n folded\r\n\r\n",
            start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            start + "Content-Length: 18446744073709551616\r\n\r\n",
            start + "Content-Length: -1\r\n\r\n",
            start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nx",
            start + "Api-Key: k-cakes\r\nX-Request-Id: half\r\nContent-Length: 100\r\n\r\nhalf",
            start + "Api-Key: k-cakes\r\nX-Request-Id: " + std::string(200, 'r') + "\r\n",
            start + "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n",
            start + "Upgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
            start + "Long: " + std::string(100'000, 'l'),
            std::string(100'000, 'G')};
}

/// Payloads of frames that no peer sends: CBOR that is wrong, deep, cut or of other types.
inline std::vector<std::string> oddFramePayloads()
{
    return {"",
            std::string(1, 0),
            "\xff",
            "\x9f",
            std::string(60'000, '\x81'),
            std::string(60'000, '\x9f'),
            "\x5b\xff\xff\xff\xff\xff\xff\xff\xff",
            "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
            "\xbb\xff\xff\xff\xff\xff\xff\xff\xff",
            "\xa1\x64type\x63odd",
            "\xa1\x64type\xf9\x7e",
            "\xa1\x64type\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
            "\xa2\x64type\x01\x64type\x02",
            "{\"type\":1}"};
}

/// Responses of servers that are no answer; \a id is that of the request.
inline std::vector<std::string> oddResponses(const std::string &id)
{
    const std::string ids = "X-Request-Id: " + id + "\r\nX-Server-Seal: seal-" + id + "\r\n";
    const std::string start = "HTTP/1.1 200 OK\r\n" + ids;
    std::string continues;
    for (int number = 0; number < 1'000; ++number)
        continues += "HTTP/1.1 100 Continue\r\n\r\n";
    return {"\r\n",
            std::string(300, 0),
            "\xff\xfe no answer\r\n\r\n",
            "HTTP/1.1\r\n\r\n",
            "HTTP/1.1 99999999999999999999 X\r\n\r\n",
            "HTTP/1.1 -1 X\r\n" + ids + "\r\n",
            "HTTP/1.1 99 X\r\n" + ids + "\r\n",
            "HTTP/1.1 101 Switching\r\nUpgrade: websocket\r\n" + ids + "\r\n",
            "HTTP/9.9 200 OK\r\n" + ids + "\r\n",
            continues,
            start + "X: a\x01\x7f\r\nContent-Length: x\r\n\r\n",
            start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            start + "Content-Length: 18446744073709551616\r\n\r\n",
            start + "Content-Length: -1\r\n\r\n",
            start + ": empty\r\n\r\n",
            start + "no colon\r\n\r\n",
            start + "Server-Limit: 1e999\r\nX-Cold-Ms: -1\r\nRetry-After: nan\r\n: \r\n\r\n",
            start + "Long: " + std::string(100'000, 'l'),
            std::string(100'000, 'H')};
}

/// Answers of a store whose bodies it would not give.
inline std::vector<std::string> oddStoreBodies()
{
    return {"",
            "nul",
            "{",
            "null",
            "[]",
            "0",
            "\"\xff\"",
            "{}",
            std::string(100'000, '['),
            R"({"items":{},"more":false,"at":"x"})",
            R"({"items":[null],"more":"yes","at":200})",
            R"({"items":[{}],"more":false,"at":1e400})",
            R"({"items":[{"metadata":{"name":5,"rev":-1},"spec":null}],"more":false,"at":200})",
            R"({"items":[{"metadata":[],"spec":{}}],"more":false,"at":-1})",
            R"({"events":null,"at":200})",
            R"({"events":[[]],"at":200})",
            R"({"events":[{"object":null,"removed":"no"}],"at":null})",
            R"({"events":[{"object":{"metadata":{"name":"main"}},"removed":1}],"at":1.5})",
            R"({"metadata":{"name":"x","rev":"y"}})"};
}

} // namespace dotterel::support
