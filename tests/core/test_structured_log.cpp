#include "core/structured_log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace dotterel;

namespace {

/// Captures standard output during the lifetime of the object.
class StandardOutputCapture
{
public:
    StandardOutputCapture()
        : originalBuffer(std::cout.rdbuf(this->stream.rdbuf()))
    {}
    ~StandardOutputCapture() { std::cout.rdbuf(this->originalBuffer); }
    StandardOutputCapture(const StandardOutputCapture &) = delete;
    StandardOutputCapture &operator=(const StandardOutputCapture &) = delete;

    std::string text() const { return this->stream.str(); }

private:
    std::ostringstream stream;
    std::streambuf *originalBuffer;
};

} // namespace

TEST_CASE("Each event is written as one line of JSON", "[Core][StructuredLog]")
{
    const StandardOutputCapture capture;
    StructuredLog log("centro-a-1", Severity::Info);

    SECTION("with its number, name and severity from the catalogue, and its fields")
    {
        log.write(Event::ServerDown,
                  {{"server", std::string("s1")}, {"count", std::int64_t{3}}, {"seconds", 0.5}});
        const nlohmann::json line = nlohmann::json::parse(capture.text());
        CHECK(line.at("host") == "centro-a-1");
        CHECK(line.at("event") == 601);
        CHECK(line.at("name") == "server_down");
        CHECK(line.at("severity") == "warning");
        CHECK(line.at("server") == "s1");
        CHECK(line.at("count") == 3);
        CHECK(line.at("seconds") == 0.5);
        CHECK(line.at("time_ms") > 0);
    }
    SECTION("control characters and invalid UTF-8 in a field do not break the line")
    {
        log.write(Event::RequestRefused,
                  {{"detail", std::string("a\n{\"event\":1}\r\"\xFF\x01") + '\0'}});
        log.write(Event::ShutdownBegan, {});
        std::istringstream lines(capture.text());
        std::size_t count = 0;
        for (std::string line; std::getline(lines, line); ++count)
            CHECK(nlohmann::json::accept(line));
        CHECK(count == 2);
    }
    SECTION("events below the threshold are not written")
    {
        log.write(Event::OrderClaimed, {});
        CHECK(capture.text().empty());
    }
    SECTION("lines above the rate limit are dropped and counted")
    {
        StructuredLog limitedLog("centro-a-2", Severity::Info, {1'000'000.0, 2});
        const StructuredLog::MicrosecondClock stoppedClock = [] { return std::int64_t{0}; };
        limitedLog.setClock(stoppedClock);
        for (int line = 0; line < 5; ++line)
            limitedLog.write(Event::ShutdownBegan, {});
        const std::string text = capture.text();
        CHECK(std::count(text.begin(), text.end(), '\n') == 2);
        limitedLog.setClock([] { return std::int64_t{1'000'000}; });
        limitedLog.write(Event::ShutdownBegan, {});
        CHECK_THAT(capture.text(),
                   Catch::Contains("\"lines_suppressed\"") && Catch::Contains("\"lines\":3"));
    }
    SECTION("a second log in the process does not duplicate the lines of the first")
    {
        StructuredLog other("centro-a-2", Severity::Info);
        log.write(Event::ShutdownBegan, {});
        CHECK(nlohmann::json::accept(capture.text()));
    }
}
