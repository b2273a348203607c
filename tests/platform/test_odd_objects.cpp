// Objects that another writer left in the store and that no host can read.

#include "core/json_input.h"
#include "platform/odd_object_fleet.h"
#include "platform_page_reader.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using dotterel::platform::PlatformProtocol;
using dotterel::platform::readListPage;
using dotterel::platform::readWatchPage;
using Json = nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr std::size_t DeepLevels = 100'000;

std::string deepList(std::size_t levels = DeepLevels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string deepObject()
{
    std::string text;
    for (std::size_t level = 0; level < DeepLevels; ++level)
        text += R"({"a":)";
    return text + "1" + std::string(DeepLevels, '}');
}

/// Returns a server's entry with the text \a value in the field \a name.
std::string entryWith(const std::string &name, const std::string &value)
{
    Json entry = serverEntry();
    entry[name] = "@";
    std::string text = entry.dump();
    const std::string mark = "\"@\"";
    return text.replace(text.find(mark), mark.size(), value);
}

/// What other writers have left, by what is odd about it; fields are nested \a levels deep.
std::vector<std::pair<std::string, std::string>> oddValues(std::size_t levels = DeepLevels)
{
    std::vector<std::pair<std::string, std::string>> values = {
            {"whole value deep", deepList()},
            {"whole value deep, objects", deepObject()},
            {"whole value a number", "1e400"},
            {"whole value missing brackets", "[}"},
            {"integer beyond 64 bits", entryWith("slots", "123456789012345678901234567890")},
            {"integer below the least one", entryWith("slots", "-123456789012345678901234567890")},
            {"negative number", entryWith("slots", "-1")},
            {"large number", entryWith("slots", "1e308")},
            {"fraction", entryWith("slots", "1.5")},
            {"port 0", entryWith("address", "\"127.0.0.1:0\"")},
            {"port 65536", entryWith("address", "\"127.0.0.1:65536\"")},
            {"port with more behind it", entryWith("address", "\"127.0.0.1:80x\"")},
            {"negative port", entryWith("address", "\"127.0.0.1:-1\"")},
            {"line break", entryWith("address", "\"127.0.0.1:9\\r\\nX: y\"")},
            {"long text", entryWith("state", "\"" + std::string(300'000, 'x') + "\"")},
            {"bytes that are no text", entryWith("zone", "\"\xff\xfe\"")},
            {"control character", entryWith("zone", std::string("\"a\0b\"", 5))},
            {"no JSON", entryWith("zone", "nul")}};
    for (const char *field : {"slots", "seq", "cold_left_ms", "born", "address", "service", "zone",
                              "version", "state", "unused"})
        values.emplace_back(std::string("deep list in ") + field,
                            entryWith(field, deepList(levels)));
    for (const char *field : {"slots", "cold_left_ms", "limit"})
        values.emplace_back(std::string("1e400 in ") + field, entryWith(field, "1e400"));
    for (const char *field : {"service", "zone", "version", "state"})
        values.emplace_back(std::string("lone surrogate in ") + field,
                            entryWith(field, R"("\ud800\ud800\ud800")"));
    return values;
}

std::string listPage(const std::string &spec)
{
    return R"({"items":[{"metadata":{"name":"a","rev":4},"spec":{"x":1}},)"
           R"({"metadata":{"name":"odd","rev":5},"spec":)"
           + spec + R"(},{"metadata":{"name":"z","rev":6},"spec":{"x":2}}],"more":false,"at":9})";
}

} // namespace

TEST_CASE("One odd object in a page of the store cost all others", "[Platform][OddObjects]")
{
    for (const auto &[title, spec] : oddValues()) {
        DYNAMIC_SECTION("a list with " << title)
        {
            const auto listed = readListPage(Collection::Servers, listPage(spec));
            REQUIRE(listed);
            CHECK(listed->page.revision == 9);
            const auto &objects = listed->page.objects;
            REQUIRE(objects.size() == 3);
            CHECK(objects[0].text == R"({"x":1})");
            CHECK(objects[1].name == "odd");
            CHECK(objects[1].revision == 5);
            CHECK(objects[2].text == R"({"x":2})");
            CHECK_FALSE(PlatformProtocol().parseServer("odd", objects[1].text));
        }
    }
    SECTION("a watch with a deep value, a removal behind it")
    {
        const auto page = readWatchPage(
                Collection::Servers,
                R"({"events":[{"removed":false,"object":{"metadata":{"name":"odd","rev":5},"spec":)"
                        + deepList()
                        + R"(}},{"removed":true,"object":{"metadata":{"name":"a","rev":4}}}],"at":9})");
        REQUIRE(page);
        REQUIRE(page->objects.size() == 2);
        CHECK(page->objects[0].text.empty());
        CHECK_THAT(page->objects[0].defect, Catch::Contains("nested"));
        CHECK(page->objects[1].removed);
    }
    SECTION("objects whose names or revisions cannot be read are left out and counted")
    {
        const std::vector<std::string> odd = {
                R"({"metadata":{"name":7,"rev":5},"spec":{}})",
                R"({"metadata":{"name":"","rev":5},"spec":{}})",
                R"({"metadata":{"name":"b","rev":-5},"spec":{}})",
                R"({"metadata":{"name":"b","rev":1e400},"spec":{}})",
                R"({"metadata":{"name":"b","rev":18446744073709551615},"spec":{}})",
                R"({"metadata":{"name":"\ud800","rev":5},"spec":{}})",
                R"({"metadata":{"name":"b\n","rev":5},"spec":{}})",
                "{\"metadata\":{\"name\":\"b\xff\",\"rev\":5},\"spec\":{}}",
                R"({"metadata":{"name":")" + std::string(2'000, 'n') + R"(","rev":5}})",
                R"({"metadata":)" + deepList() + "}",
                R"({"spec":{}})",
                deepList(),
                "7",
                "null"};
        for (const std::string &item : odd) {
            INFO(item.substr(0, 80));
            const auto listed = readListPage(
                    Collection::Servers,
                    R"({"items":[)" + item
                            + R"(,{"metadata":{"name":"z","rev":6},"spec":{}}],"at":9})");
            REQUIRE(listed);
            CHECK(listed->page.objects.size() == 1);
            CHECK(listed->page.unidentified.size() == 1);
        }
    }
    SECTION("a page that is malformed as a whole is refused")
    {
        for (const char *body :
             {"", "[]", "null", R"({"items":[]})", R"({"at":9})", R"({"items":{},"at":9})",
              R"({"items":[],"at":-1})", R"({"items":[{"metadata")"})
            CHECK_FALSE(readListPage(Collection::Servers, body));
    }
    SECTION("the version of a configuration is read with it")
    {
        const auto listed = readListPage(Collection::Configuration, listPage(R"({"version":7})"));
        REQUIRE(listed);
        CHECK(listed->page.objects.at(1).version == 7);
        SECTION("without reading beyond its value")
        {
            const std::string spec = R"({"name":")" + std::string(100, 'x') + R"(","version":7})";
            const auto named = readListPage(Collection::Configuration, listPage(spec));
            REQUIRE(named);
            CHECK(named->page.objects.at(1).version == 7);
        }
    }
}

TEST_CASE("One odd entry among the servers' ended every host of the fleet",
          "[Platform][OddObjects]")
{
    OddObjectFleet fixture;
    // The hosts read all of this several times; the page reader's test has all of it at full depth.
    constexpr std::size_t FieldLevels = 10'000;
    for (const auto &[title, spec] : oddValues(FieldLevels)) {
        if (spec != deepObject())
            fixture.store.putText("servers", "odd " + title, spec);
    }
    // A change behind the odd entries.
    fixture.store.put("servers", "late", serverEntry());
    CHECK(fixture.becomesTrue([&] { return fixture.allShow("late", "up"); }, ApplyLimit));

    SECTION("the entries behind it are followed")
    {
        fixture.store.put("servers", "sound", serverEntry(true));
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("sound", "draining"); },
                                  ApplyLimit));
        fixture.store.remove("servers", "late");
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("late", ""); }, ApplyLimit));
    }
    SECTION("a host that starts meanwhile follows the others")
    {
        fixture.startHost(0);
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("late", "up"); }, seconds(5)));
        CHECK(fixture.allAtVersion(1));
    }
    SECTION("each is named once by each host, at bounded length")
    {
        CHECK(fixture.log.count("odd deep list in slots") == fixture.hosts.size());
        for (const std::string &line : fixture.log.lines)
            CHECK(line.size() < 600);
    }
    SECTION("it is used once it is mended, and nothing is left of one that is removed")
    {
        fixture.store.put("servers", "odd 1e400 in slots", serverEntry());
        fixture.store.remove("servers", "odd whole value deep");
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("odd 1e400 in slots", "up"); },
                                  ApplyLimit));
        CHECK(fixture.allShow("odd whole value deep", ""));
    }
    SECTION("a sound entry that turns odd loses its server")
    {
        fixture.store.putText("servers", "sound", entryWith("slots", "1e400"));
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("sound", ""); }, ApplyLimit));
        fixture.store.put("servers", "sound", serverEntry());
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("sound", "up"); }, ApplyLimit));
    }
}

TEST_CASE("Odd objects of the store's other kinds cost themselves only", "[Platform][OddObjects]")
{
    OddObjectFleet fixture;

    SECTION("a configuration with the highest version that cannot be used")
    {
        fixture.store.putText("config", "main",
                              R"({"version":9000000000000000000,"routes":)" + deepList() + "}");
        CHECK(fixture.becomesTrue([&] { return fixture.log.count("main") >= 2; }, ApplyLimit));
        CHECK(fixture.allAtVersion(1));
        fixture.publishConfiguration(3);
        CHECK(fixture.becomesTrue([&] { return fixture.allAtVersion(3); }, ApplyLimit));
    }
    SECTION("a configuration with numbers out of range")
    {
        fixture.store.putText(
                "config", "main",
                R"({"version":2,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":)"
                R"("idempotent","service":"app","timeout_ms":-5}],"services":[{"name":"app"}]})");
        CHECK(fixture.becomesTrue([&] { return fixture.log.count("timeout_ms") >= 2; },
                                  ApplyLimit));
        fixture.publishConfiguration(3);
        CHECK(fixture.becomesTrue([&] { return fixture.allAtVersion(3); }, ApplyLimit));
    }
    SECTION("a failure domain out of service, whatever its value")
    {
        fixture.store.putText("evacuations", "z0", deepList());
        fixture.store.put("servers", "late", serverEntry());
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("late", "up"); }, ApplyLimit));
        fixture.store.remove("evacuations", "z0");
    }
    SECTION("entries of hosts")
    {
        fixture.store.putText("dotterelfield-hosts", "odd-host", deepList());
        fixture.store.putText("dotterelfield-hosts", "odd-port",
                              R"({"failure_domain":"z0","address":"127.0.0.1","peer_port":70000})");
        fixture.startHost(1);
        CHECK(fixture.becomesTrue([&] { return fixture.allShow("sound", "up"); }, seconds(5)));
        CHECK(fixture.becomesTrue([&] { return fixture.hosts[1].gateway->status().peerLinks == 1; },
                                  seconds(5)));
    }
}

TEST_CASE("JSON of other programs is bounded before it is parsed", "[Platform][OddObjects]")
{
    SECTION("depth and size")
    {
        CHECK(parseJson(R"([[1],{"a":"[[[["}])"));
        CHECK(parseJson(std::string(32, '[') + std::string(32, ']')));
        CHECK_FALSE(parseJson(std::string(33, '[') + std::string(33, ']')));
        CHECK_FALSE(parseJson("[1]", {2, 32}));
        CHECK_FALSE(parseJson(deepObject()));
        CHECK(parseJsonOrDiscard(deepList()).is_discarded());
    }
    SECTION("reasons have a bounded length")
    {
        const auto parsed = parseJson("\"" + std::string(300'000, 'x'));
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().size() < 200);
    }
    SECTION("integers")
    {
        const Json object = {{"three", 3},     {"real", 3.0}, {"fraction", 3.5}, {"negative", -3},
                             {"large", 1e300}, {"text", "3"}, {"none", nullptr}, {"small", 0}};
        CHECK(requireInteger(object, "three", {0, 10}) == 3);
        CHECK(requireInteger(object, "real", {0, 10}) == 3);
        CHECK(integerOr(object, "none", 7, {0, 10}) == 7);
        CHECK(integerOr(object, "absent", 7, {0, 10}) == 7);
        for (const char *name : {"fraction", "negative", "large", "text"})
            CHECK_THROWS_WITH(integerOr(object, name, 7, {0, 10}), Catch::Contains(name));
        CHECK_THROWS(requireInteger(object, "small", {1, 10}));
        CHECK_THROWS(requireInteger(object, "absent", {0, 10}));
    }
}
