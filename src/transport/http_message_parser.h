#pragma once

#include "transport/http_server.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// Start line and headers of an HTTP/1.x message.
struct HttpHead
{
    std::string method; ///< Of a request, such as "POST".
    std::string target; ///< Of a request: path and query, as they were sent.
    int status = 0;     ///< Of an answer.
    HttpHeaders headers;
    std::optional<std::uint64_t> contentLength;
    bool keepAlive = false; ///< The sender does not ask to close the connection.
    bool delimited = true;  ///< The end of the body shows without the end of the connection.
};

/// Returns the value of the first header \a name, in any case; null if there is none.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/// Returns true if \a left and \a right differ at most in case.
bool sameHeaderName(std::string_view left, std::string_view right);

/// Returns true if an answer with \a status never has a body.
bool isBodiless(int status);

/// Hears the parts of messages.
class HttpMessageListener
{
public:
    virtual ~HttpMessageListener() = default;

    virtual void onMessageHead(HttpHead &&head) = 0;
    virtual void onMessageData(std::string_view bytes) = 0;
    virtual void onMessageEnd() = 0;
};

/// Which side of a connection is parsed.
enum class HttpSide { Requests, Answers };

/// How a feed of bytes ended.
enum class HttpParseResult {
    NeedsMore,
    MessageEnded, ///< The bytes after the message are left to the next feed.
    HeadTooLarge,
    Malformed,
};

/// Parses HTTP/1.x messages with http_parser, one message at a time. A message with both a length
/// and a transfer encoding is malformed.
class HttpMessageParser
{
public:
    HttpMessageParser(HttpSide side, std::size_t maxHeadBytes, HttpMessageListener &listener);
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    /// Parses \a bytes and reduces them to what is not consumed.
    HttpParseResult feed(std::string_view &bytes);

    /// The connection ended in an orderly way; returns true if that ends the message.
    bool finish();

    /// Returns true while a message has begun and not ended.
    bool inMessage() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace dotterel
