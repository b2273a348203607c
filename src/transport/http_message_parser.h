#pragma once

#include "transport/http_server.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// Start line and headers of an HTTP/1.x message.
struct HttpMessageHead
{
    std::string method; ///< Requests only, such as "POST".
    std::string target; ///< Requests only: path and query exactly as sent.
    int status = 0;     ///< Responses only.
    HttpHeaders headers;
    std::optional<std::uint64_t> contentLength;
    bool keepAlive = false;    ///< The sender allows reuse of the connection.
    bool bodyDelimited = true; ///< The body's end is known without the connection closing.
};

/// Returns the value of the first header \a name, ignoring case; null if there is none.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/// Compares two header names, ignoring case.
bool equalHeaderNames(std::string_view left, std::string_view right);

/// Returns true if \a status may be that of a response (RFC 9110, section 15).
bool isValidStatus(int status);

/// Returns true if a response with \a status never has a body.
bool isBodilessStatus(int status);

/// Receives the parts of parsed messages.
class HttpMessageListener
{
public:
    virtual ~HttpMessageListener() = default;

    virtual void onMessageHead(HttpMessageHead &&head) = 0;
    virtual void onMessageData(std::string_view bytes) = 0;
    virtual void onMessageEnd() = 0;
};

/// Kind of messages that a parser expects.
enum class HttpMessageType { Request, Response };

/// Result of HttpMessageParser::feed().
enum class HttpParseResult {
    NeedsMoreData,
    MessageComplete, ///< Bytes after the message are left for the next call.
    HeadTooLarge,
    Malformed,
};

/// Parses HTTP/1.x messages with http_parser, one message at a time. A message that readers may
/// frame differently is malformed, as a guard against request smuggling: one with both
/// Content-Length and Transfer-Encoding, with another coding than "chunked", with a name that is no
/// token, with a folded line, with control characters in a value, or with a CR that no LF follows
/// in its head.
class HttpMessageParser
{
public:
    HttpMessageParser(HttpMessageType messageType, std::size_t maxHeadBytes,
                      HttpMessageListener &listener);
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    /// Sets whether the next responses answer a HEAD request: they have no body, whatever their
    /// headers say.
    void setAnswersHead(bool answersHead);

    /// Parses \a bytes and removes the consumed prefix from them.
    HttpParseResult feed(std::string_view &bytes);

    /// Signals that the peer closed the connection; returns true if that completes the message.
    bool finishAtEof();

    /// Returns true if a message has begun and is not complete.
    bool inMessage() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace dotterel
