// Inputs drawn from fragments of what servers and the store send. A short seeded run; the variable
// DOTTEREL_FUZZ_ROUNDS sets the number of inputs per case for a long one.

#include "coordination/order_record.h"
#include "core/random_source.h"
#include "gateway/event_stream_splitter.h"
#include "gateway/prompt_updates.h"
#include "platform_page_reader.h"
#include "platform_protocol.h"
#include "protocol/peer_message.h"
#include "transport/http_message_parser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <set>

using namespace dotterel;

namespace {

constexpr std::uint64_t FuzzSeed = 20261204;
constexpr std::size_t MaxHeadBytes = 512;
constexpr std::uint64_t MaxFragments = 24;
constexpr std::uint64_t MaxCuts = 4;

int fuzzRounds()
{
    constexpr int DefaultRounds = 10'000;
    const char *rounds = std::getenv("DOTTEREL_FUZZ_ROUNDS");
    return rounds == nullptr ? DefaultRounds : std::atoi(rounds);
}

std::string drawInput(const std::vector<std::string> &fragments, RandomSource &random)
{
    std::string input;
    for (std::uint64_t count = random.nextBelow(MaxFragments); count > 0; --count) {
        const std::uint64_t index = random.nextBelow(fragments.size() + 1);
        if (index < fragments.size())
            input += fragments[index];
        else
            input += static_cast<char>(random.nextBelow(256));
    }
    return input;
}

/// Returns \a input cut at random places.
std::vector<std::string_view> cutRandomly(std::string_view input, RandomSource &random)
{
    std::vector<std::string_view> pieces;
    for (std::uint64_t cuts = random.nextBelow(MaxCuts + 1); cuts > 0; --cuts) {
        const std::size_t length = random.nextBelow(input.size() + 1);
        pieces.push_back(input.substr(0, length));
        input.remove_prefix(length);
    }
    pieces.push_back(input);
    return pieces;
}

/// Writes down what a parser reports, so that two runs can be compared.
struct ParserTranscript : HttpMessageListener
{
    void onMessageHead(HttpMessageHead &&head) override
    {
        this->text += "\n[" + std::to_string(head.status) + (head.bodyDelimited ? "d" : "c")
                      + std::to_string(head.headers.size()) + "]";
        std::size_t headBytes = 0;
        for (const auto &[name, value] : head.headers)
            headBytes += name.size() + value.size();
        REQUIRE(headBytes <= MaxHeadBytes);
    }
    void onMessageData(std::string_view bytes) override { this->text.append(bytes); }
    void onMessageEnd() override {}

    /// Reads \a pieces and the end of the connection.
    void read(const std::vector<std::string_view> &pieces)
    {
        HttpMessageParser parser(HttpMessageType::Response, MaxHeadBytes, *this);
        for (std::string_view piece : pieces) {
            while (!piece.empty()) {
                const HttpParseResult result = parser.feed(piece);
                if (result == HttpParseResult::MessageComplete) {
                    this->text += "[end]";
                } else if (result != HttpParseResult::NeedsMoreData) {
                    this->text += "[malformed]";
                    return;
                }
            }
        }
        this->text += parser.finishAtEof() ? "[end at close]" : "[cut]";
    }

    std::string text;
};

/// Keeps the head that a parser accepted.
struct AcceptedHead : HttpMessageListener
{
    void onMessageHead(HttpMessageHead &&newHead) override { this->head = std::move(newHead); }
    void onMessageData(std::string_view /*bytes*/) override {}
    void onMessageEnd() override {}

    std::optional<HttpMessageHead> head;
};

/// Header lines of callers and servers, sound ones first.
const std::vector<std::string> HeaderLines = {"Host: shop\r\n",
                                              "X-A: b\r\n",
                                              "Content-Length: 5\r\n",
                                              "Content-Length: 7\r\n",
                                              "Transfer-Encoding: chunked\r\n",
                                              "Connection: close\r\n",
                                              "X-A : b\r\n",
                                              "Content-Length : 5\r\n",
                                              "Transfer-Encoding : chunked\r\n",
                                              "Transfer-Encoding: identity, chunked\r\n",
                                              "Transfer-Encoding: xchunked\r\n",
                                              "Transfer-Encoding: chunked, chunked\r\n",
                                              "Content-Length: +5\r\n",
                                              "Content-Length: 5, 5\r\n",
                                              "Content-Length: 99999999999999999999\r\n",
                                              " folded\r\n",
                                              "\tfolded\r\n",
                                              ": nameless\r\n",
                                              "X-A\r\n",
                                              "X(A): b\r\n",
                                              "X-A: b\n",
                                              "X-A: b\rX-B: c\r\n",
                                              std::string("X-A: b\0c\r\n", 9)};

bool isToken(const std::string &name)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&Symbols](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte < 128 && (std::isalnum(byte) != 0 || Symbols.find(letter) != Symbols.npos);
    });
}

/// Returns why readers may take the end of \a head's message to be in different places; empty if
/// they cannot. \a bytes begin with the head as it was sent.
std::string ambiguity(const HttpMessageHead &head, std::string_view bytes)
{
    std::set<std::string> lengths;
    std::vector<std::string> codings;
    for (const auto &[name, value] : head.headers) {
        if (!isToken(name))
            return "the name " + name + " is no token";
        if (value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
            return "a value ends early";
        if (equalHeaderNames(name, "Content-Length"))
            lengths.insert(value);
        if (equalHeaderNames(name, "Transfer-Encoding"))
            codings.push_back(value.substr(0, value.find_last_not_of(" \t") + 1));
    }
    if (lengths.size() > 1 || (!lengths.empty() && !codings.empty()))
        return "two lengths";
    if (codings.size() > 1
        || (codings.size() == 1 && !equalHeaderNames(codings.front(), "chunked")))
        return "an unknown coding";
    const std::string_view lines =
            bytes.substr(0, std::min(bytes.find("\n\r\n"), bytes.find("\n\n")));
    const bool isFolded = lines.find("\n ") != lines.npos || lines.find("\n\t") != lines.npos;
    return isFolded ? "a folded line" : "";
}

struct SplitResult
{
    std::vector<std::string> events;
    std::string remainder;
    bool insideEvent = false;

    bool operator==(const SplitResult &other) const
    {
        return this->events == other.events && this->remainder == other.remainder
               && this->insideEvent == other.insideEvent;
    }
};

SplitResult split(const std::vector<std::string_view> &pieces)
{
    SplitResult result;
    EventStreamSplitter splitter;
    for (const std::string_view piece : pieces) {
        for (const StreamEvent &event : splitter.feed(piece))
            result.events.push_back(event.bytes);
    }
    result.remainder = splitter.remainder();
    result.insideEvent = splitter.isInsideEvent();
    return result;
}

} // namespace

TEST_CASE("A response ends the same way however its bytes are split", "[Fuzz][HttpMessageParser]")
{
    const std::vector<std::string> fragments = {
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 103 Early\r\n",
            "HTTP/1.1 204 None\r\n",
            "Content-Length: 5\r\n",
            "Content-Length: 0\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Connection: close\r\n",
            "Keep-Alive: timeout=4\r\n",
            "\r\n",
            "\r\n",
            "\n",
            "\r",
            "hello",
            "5\r\nhello\r\n",
            "5;a=b\r\nhello\r\n",
            "0\r\n\r\n",
            "0\r\nX: y\r\n\r\n",
            "X: y\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "X: " + std::string(200, 'x') + "\r\n"};
    SeededRandom random(FuzzSeed);
    for (int round = fuzzRounds(); round > 0; --round) {
        const std::string input = (random.nextBelow(4) > 0 ? "HTTP/1.1 200 OK\r\n" : "")
                                  + drawInput(fragments, random);
        ParserTranscript whole;
        whole.read({input});
        ParserTranscript cut;
        cut.read(cutRandomly(input, random));
        if (whole.text != cut.text) {
            CAPTURE(input);
            REQUIRE(whole.text == cut.text);
        }
    }
}

TEST_CASE("A head that readers may frame differently is malformed", "[Fuzz][HttpMessageParser]")
{
    const auto type = GENERATE(HttpMessageType::Request, HttpMessageType::Response);
    const std::string startLine =
            type == HttpMessageType::Request ? "POST /x HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n";
    SeededRandom random(FuzzSeed);
    int accepted = 0;
    for (int round = fuzzRounds(); round > 0; --round) {
        std::string input = startLine;
        for (std::uint64_t count = random.nextBelow(5); count > 0; --count)
            input += HeaderLines[random.nextBelow(HeaderLines.size())];
        input += "\r\n";
        if (random.nextBelow(4) == 0)
            input[random.nextBelow(input.size())] = static_cast<char>(random.nextBelow(256));
        AcceptedHead listener;
        HttpMessageParser parser(type, MaxHeadBytes, listener);
        HttpParseResult result = HttpParseResult::NeedsMoreData;
        for (std::string_view piece : cutRandomly(input, random)) {
            while (!piece.empty() && result == HttpParseResult::NeedsMoreData)
                result = parser.feed(piece);
        }
        if (!listener.head)
            continue;
        ++accepted;
        if (findHeader(listener.head->headers, "Transfer-Encoding") != nullptr) {
            CAPTURE(input);
            REQUIRE(result != HttpParseResult::MessageComplete);
            REQUIRE(listener.head->bodyDelimited);
        }
        if (const std::string reason = ambiguity(*listener.head, input); !reason.empty()) {
            CAPTURE(input);
            FAIL(reason);
        }
    }
    // The table is of use only if sound heads pass.
    CHECK(accepted > fuzzRounds() / 20);
}

TEST_CASE("A stream ends the same way however its bytes are split", "[Fuzz][EventStreamSplitter]")
{
    const std::vector<std::string> fragments = {"id: 1", "id:2", "data: x",  ":",
                                                ": c",   "\n",   "\r",       "\r\n",
                                                "\n\n",  "\r\r", "\r\n\r\n", "x"};
    SeededRandom random(FuzzSeed);
    for (int round = fuzzRounds(); round > 0; --round) {
        const std::string input = drawInput(fragments, random);
        const SplitResult whole = split({input});
        const SplitResult cut = split(cutRandomly(input, random));
        std::string joined;
        for (const std::string &event : whole.events)
            joined += event;
        joined += whole.remainder;
        const bool blankRemainder = whole.remainder.find_first_not_of("\r\n") == std::string::npos;
        if (!(whole == cut) || joined != input || whole.insideEvent == blankRemainder) {
            CAPTURE(input, whole.insideEvent, cut.insideEvent);
            REQUIRE(whole == cut);
            REQUIRE(joined == input);
            REQUIRE(whole.insideEvent != blankRemainder);
        }
    }
}

TEST_CASE("What peers and the store send is decoded or rejected", "[Fuzz][Codecs]")
{
    const platform::PlatformProtocol protocol;
    const std::string message = encodePeerMessage(ConfigurationOffer{6, "{}"});
    const std::string updates = encodePromptUpdates(PromptUpdateBatch{});
    const std::vector<std::string> fragments = {message,
                                                updates,
                                                message.substr(0, message.size() / 2),
                                                "{",
                                                "}",
                                                "[",
                                                "]",
                                                ",",
                                                ":",
                                                "\"version\"",
                                                "\"routes\"",
                                                "\"services\"",
                                                "\"name\"",
                                                "\"host\"",
                                                "\"a\"",
                                                "\"address\"",
                                                "\"127.0.0.1:80\"",
                                                "\"service\"",
                                                "\"state\"",
                                                "\"ready\"",
                                                "\"born\"",
                                                "1",
                                                "-1",
                                                "1e99",
                                                "null",
                                                "true",
                                                std::string(40, '['),
                                                std::string(40, '\x81'),
                                                std::string(20, '\xbf')};
    SeededRandom random(FuzzSeed);
    std::size_t decoded = 0;
    for (int round = fuzzRounds(); round > 0; --round) {
        const std::string input = drawInput(fragments, random);
        decoded += decodePeerMessage(input) ? 1 : 0;
        decoded += decodePromptUpdates(input) ? 1 : 0;
        decoded += protocol.parseConfiguration(input) ? 1 : 0;
        decoded += protocol.parseServer("s", input) ? 1 : 0;
    }
    CHECK(decoded > 0);
}

TEST_CASE("CBOR that declares too many elements or is nested deeply does not end the host",
          "[Fuzz][Codecs]")
{
    constexpr std::size_t DatagramBytes = 60'000;
    const std::vector<std::string> inputs = {std::string("\x9b\x22\x61\x22\x2c\x31\x31\x31\x31", 9),
                                             std::string("\xbb\x22\x61\x22\x2c\x31\x31\x31\x31", 9),
                                             std::string(DatagramBytes, '\x81'),
                                             std::string(DatagramBytes, '\x9f')};
    for (const std::string &input : inputs) {
        CHECK_FALSE(decodePromptUpdates(input));
        CHECK_FALSE(decodePeerMessage(input));
        CHECK_FALSE(decodeOrderRecord(input));
    }
}

TEST_CASE("A mutated page of the store is read or refused as a whole", "[Fuzz][PageReader]")
{
    const std::string recorded =
            R"({"items":[{"metadata":{"name":"i-1","rev":4},"spec":{"service":"a","address":)"
            R"("10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":1769006097000}},)"
            R"({"metadata":{"name":"i-2","rev":5},"spec":{"version":7,"routes":[]}}],)"
            R"("events":[{"removed":true,"object":{"metadata":{"name":"i-3","rev":6}}}],)"
            R"("more":false,"at":530})";
    const std::vector<std::string> fragments = {"{",
                                                "}",
                                                "[",
                                                "]",
                                                "\"",
                                                "\\",
                                                ",",
                                                ":",
                                                "1e400",
                                                "-1",
                                                "null",
                                                "\xff",
                                                "\\ud800",
                                                "\n",
                                                "\x01",
                                                "true",
                                                "\"a\"",
                                                "\"rev\":",
                                                std::string(300, '['),
                                                std::string(50, '}')};
    const platform::PlatformProtocol protocol;
    SeededRandom random(FuzzSeed);
    std::size_t readObjects = 0;
    for (int round = fuzzRounds(); round > 0; --round) {
        std::string page = recorded;
        for (std::uint64_t edits = random.nextBelow(4); edits > 0; --edits) {
            const std::size_t position = random.nextBelow(page.size() + 1);
            const std::size_t erased = random.nextBelow(8);
            page.replace(position, std::min(erased, page.size() - position),
                         drawInput(fragments, random));
        }
        const auto listed = platform::readListPage(Collection::Servers, page);
        if (listed) {
            for (const CollectionObject &object : listed->page.objects) {
                ++readObjects;
                REQUIRE_FALSE(object.name.empty());
                protocol.parseServer(object.name, object.text);
                protocol.parseConfiguration(object.text);
            }
        }
        platform::readWatchPage(Collection::Configuration, page);
    }
    CHECK(readObjects > 0);
}
