#include "transport/http_message_parser.h"

#include "transport/header_value.h"

#include <algorithm>
#include <cctype>
#include <http_parser.h>
#include <strings.h>

namespace dotterel {

namespace {

constexpr std::uint64_t NoContentLength = UINT64_MAX;
constexpr int ContinueParsing = 0;
constexpr int SkipBody = 1;
constexpr int ParseError = -1;
/// Length of "HTTP/1.1 200".
constexpr std::size_t StatusLineBytes = 12;
constexpr std::size_t StatusOffset = 9;

/// Returns true if \a byte may be part of a header name (RFC 9110, 5.6.2).
bool isTokenCharacter(unsigned char byte)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return std::isalnum(byte) != 0 || Symbols.find(static_cast<char>(byte)) != Symbols.npos;
}

/// Returns true if all readers of \a headers agree on the names, on the values and on the framing
/// of the body (RFC 9112, 5.1 and 6.1).
bool hasUnambiguousFields(const HttpHeaders &headers)
{
    std::size_t codings = 0;
    for (const auto &[name, value] : headers) {
        if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
            return false;
        if (!isHeaderValue(value))
            return false;
        if (!equalHeaderNames(name, "Transfer-Encoding"))
            continue;
        const std::size_t end = value.find_last_not_of(" \t");
        if (++codings > 1 || !equalHeaderNames(value.substr(0, end + 1), "chunked"))
            return false;
    }
    return true;
}

/// Returns true if \a line, the start of the first line of a response, has a status of three digits
/// in the range of RFC 9110, section 15, that a space or nothing follows. http_parser takes any
/// number.
bool hasValidStatus(std::string_view line)
{
    if (line.size() < StatusLineBytes || line[StatusOffset - 1] != ' '
        || (line.size() > StatusLineBytes && line[StatusLineBytes] != ' '))
        return false;
    int status = 0;
    for (const char digit : line.substr(StatusOffset, StatusLineBytes - StatusOffset)) {
        if (digit < '0' || digit > '9')
            return false;
        status = status * 10 + (digit - '0');
    }
    return isValidStatus(status);
}

} // namespace

bool isValidStatus(int status)
{
    constexpr int FirstStatus = 100;
    constexpr int EndOfStatuses = 600;
    return status >= FirstStatus && status < EndOfStatuses;
}

bool isBodilessStatus(int status)
{
    constexpr int FirstFinalStatus = 200;
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return status < FirstFinalStatus || status == NoContent || status == NotModified;
}

/// State of http_parser and of the current message.
struct HttpMessageParser::State
{
    State(HttpMessageType messageType, std::size_t maxHeadBytes, HttpMessageListener &listener)
        : messageType(messageType)
        , maxHeadBytes(maxHeadBytes)
        , listener(listener)
    {
        http_parser_init(&this->parser,
                         messageType == HttpMessageType::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->parser.data = this;
        http_parser_settings_init(&this->callbacks);
        this->callbacks.on_message_begin = &State::onMessageBegin;
        this->callbacks.on_url = &State::onUrl;
        this->callbacks.on_header_field = &State::onHeaderField;
        this->callbacks.on_header_value = &State::onHeaderValue;
        this->callbacks.on_headers_complete = &State::onHeadersComplete;
        this->callbacks.on_body = &State::onBody;
        this->callbacks.on_message_complete = &State::onMessageComplete;
    }

    static State &fromParser(http_parser *parser) { return *static_cast<State *>(parser->data); }

    static int onMessageBegin(http_parser *parser)
    {
        State &self = fromParser(parser);
        self.head = HttpMessageHead();
        self.headBytes = 0;
        self.inHead = true;
        self.inMessage = true;
        self.previousWasValue = true;
        return 0;
    }

    bool countHeadBytes(std::size_t length)
    {
        this->headBytes += length;
        this->headTooLarge = this->headBytes > this->maxHeadBytes;
        return !this->headTooLarge;
    }

    /// Returns true if \a bytes continue a header on a line that begins with a space, or hold a CR
    /// without LF. Peers read such lines differently (RFC 9112, 5.2 and 2.2), and http_parser takes
    /// CR and any byte for the end of a head.
    bool hasAmbiguousLine(std::string_view bytes)
    {
        for (const char byte : bytes) {
            if (this->headScanned)
                return false;
            if (this->afterReturn && byte != '\n')
                return true;
            this->afterReturn = byte == '\r';
            if (byte == '\n') {
                this->headScanned = this->startLineSeen && this->lineBytes == 0;
                this->startLineSeen = this->startLineSeen || this->lineBytes > 0;
                this->lineBytes = 0;
            } else if (byte != '\r') {
                if (!this->startLineSeen && this->startLine.size() <= StatusLineBytes)
                    this->startLine.push_back(byte);
                if (this->lineBytes == 0 && this->startLineSeen && (byte == ' ' || byte == '\t'))
                    return true;
                ++this->lineBytes;
            }
        }
        return false;
    }

    void startScan()
    {
        this->headScanned = false;
        this->startLineSeen = false;
        this->startLine.clear();
        this->afterReturn = false;
        this->lineBytes = 0;
    }

    static int onUrl(http_parser *parser, const char *bytes, std::size_t length)
    {
        State &self = fromParser(parser);
        self.head.target.append(bytes, length);
        return self.countHeadBytes(length) ? 0 : 1;
    }

    static int onHeaderField(http_parser *parser, const char *bytes, std::size_t length)
    {
        State &self = fromParser(parser);
        if (!self.inHead) // Trailers are ignored; no supported peer sends them.
            return 0;
        if (self.previousWasValue)
            self.head.headers.emplace_back();
        self.previousWasValue = false;
        self.head.headers.back().first.append(bytes, length);
        return self.countHeadBytes(length) ? 0 : 1;
    }

    static int onHeaderValue(http_parser *parser, const char *bytes, std::size_t length)
    {
        State &self = fromParser(parser);
        if (!self.inHead)
            return 0;
        self.previousWasValue = true;
        self.head.headers.back().second.append(bytes, length);
        return self.countHeadBytes(length) ? 0 : 1;
    }

    static int onHeadersComplete(http_parser *parser)
    {
        State &self = fromParser(parser);
        self.inHead = false;
        HttpMessageHead &head = self.head;
        if (self.messageType == HttpMessageType::Request)
            head.method = http_method_str(static_cast<http_method>(parser->method));
        else
            head.status = parser->status_code;
        if (self.messageType == HttpMessageType::Response && !hasValidStatus(self.startLine))
            return ParseError;
        // Another version has other framing (RFC 9110, 2.5).
        if (parser->http_major != 1 || !hasUnambiguousFields(head.headers))
            return ParseError;
        const bool chunked = (parser->flags & F_CHUNKED) != 0;
        if (!chunked && findHeader(head.headers, "Transfer-Encoding") != nullptr)
            return ParseError;
        if (parser->content_length != NoContentLength && !chunked)
            head.contentLength = parser->content_length;
        head.keepAlive = http_should_keep_alive(parser) != 0;
        head.bodyDelimited = self.messageType == HttpMessageType::Request || chunked
                             || head.contentLength || isBodilessStatus(head.status)
                             || self.answersHead;
        self.listener.onMessageHead(std::move(head));
        return self.answersHead ? SkipBody : ContinueParsing;
    }

    static int onBody(http_parser *parser, const char *bytes, std::size_t length)
    {
        fromParser(parser).listener.onMessageData({bytes, length});
        return 0;
    }

    static int onMessageComplete(http_parser *parser)
    {
        State &self = fromParser(parser);
        self.inMessage = false;
        self.messageComplete = true;
        // Later bytes belong to the next message and are parsed by the next call of feed().
        http_parser_pause(parser, 1);
        return 0;
    }

    HttpMessageType messageType;
    std::size_t maxHeadBytes;
    HttpMessageListener &listener;
    http_parser parser{};
    http_parser_settings callbacks{};
    HttpMessageHead head;
    std::size_t headBytes = 0;
    bool answersHead = false;
    bool inHead = false;
    bool previousWasValue = true;
    bool inMessage = false;
    bool messageComplete = false;
    bool headTooLarge = false;
    bool headScanned = false;   ///< The head of the current message has ended.
    bool startLineSeen = false; ///< Of the current message.
    std::string startLine;      ///< Its first bytes, StatusLineBytes + 1 at most.
    bool afterReturn = false;   ///< The last scanned byte is a CR.
    std::size_t lineBytes = 0;  ///< Bytes of the current line of the head.
};

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalHeaderNames(key, name))
            return &value;
    }
    return nullptr;
}

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

HttpMessageParser::HttpMessageParser(HttpMessageType messageType, std::size_t maxHeadBytes,
                                     HttpMessageListener &listener)
    : state(std::make_unique<State>(messageType, maxHeadBytes, listener))
{}

HttpMessageParser::~HttpMessageParser() = default;

void HttpMessageParser::setAnswersHead(bool answersHead)
{
    this->state->answersHead = answersHead;
}

HttpParseResult HttpMessageParser::feed(std::string_view &bytes)
{
    State &self = *this->state;
    self.messageComplete = false;
    if (self.hasAmbiguousLine(bytes))
        return HttpParseResult::Malformed;
    const std::size_t consumed =
            http_parser_execute(&self.parser, &self.callbacks, bytes.data(), bytes.size());
    if (self.messageComplete) {
        http_parser_pause(&self.parser, 0);
        bytes.remove_prefix(consumed);
        // On an upgrade http_parser stops at the last byte of a body, but one byte past the end of
        // a message without a body.
        if (self.parser.upgrade != 0)
            return HttpParseResult::Malformed;
        self.messageComplete = false;
        self.startScan();
        // The parser must not carry state over into the next message.
        http_parser_init(&self.parser, self.messageType == HttpMessageType::Request
                                               ? HTTP_REQUEST
                                               : HTTP_RESPONSE);
        self.parser.data = &self;
        return HttpParseResult::MessageComplete;
    }
    if (self.headTooLarge)
        return HttpParseResult::HeadTooLarge;
    if (HTTP_PARSER_ERRNO(&self.parser) != HPE_OK)
        return HTTP_PARSER_ERRNO(&self.parser) == HPE_HEADER_OVERFLOW
                       ? HttpParseResult::HeadTooLarge
                       : HttpParseResult::Malformed;
    bytes.remove_prefix(bytes.size());
    return HttpParseResult::NeedsMoreData;
}

bool HttpMessageParser::finishAtEof()
{
    State &self = *this->state;
    if (!self.inMessage)
        return false;
    self.messageComplete = false;
    http_parser_execute(&self.parser, &self.callbacks, nullptr, 0);
    return self.messageComplete;
}

bool HttpMessageParser::inMessage() const
{
    return this->state->inMessage;
}

} // namespace dotterel
