#include "core/structured_log.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace dotterel;

namespace {

/// Takes what is written to standard error while the object lives.
class StandardErrorCapture
{
public:
    StandardErrorCapture()
        : original(std::cerr.rdbuf(this->stream.rdbuf()))
    {}
    ~StandardErrorCapture() { std::cerr.rdbuf(this->original); }
    StandardErrorCapture(const StandardErrorCapture &) = delete;
    StandardErrorCapture &operator=(const StandardErrorCapture &) = delete;

    std::string text() const { return this->stream.str(); }

private:
    std::ostringstream stream;
    std::streambuf *original;
};

} // namespace

TEST_CASE("Events are written as one line of JSON each", "[Core][StructuredLog]")
{
    const StandardErrorCapture capture;
    StructuredLog log("centro-a-1", Severity::Info);

    SECTION("with the number, name and severity of the catalogue, and the fields")
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
    SECTION("on one line whatever a caller put into a field")
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
    SECTION("not below the threshold")
    {
        log.write(Event::RequestFinished, {});
        CHECK(capture.text().empty());
    }
    SECTION("a second log does not repeat the lines of the first")
    {
        StructuredLog other("centro-a-2", Severity::Info);
        log.write(Event::ShutdownBegan, {});
        CHECK(nlohmann::json::accept(capture.text()));
    }
}
