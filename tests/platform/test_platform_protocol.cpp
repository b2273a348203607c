#include "platform_protocol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using dotterel::platform::PlatformProtocol;
using std::chrono::milliseconds;

namespace {

std::string headerValue(const HttpHeaders &headers, const char *name)
{
    const std::string *value = findHeader(headers, name);
    return value == nullptr ? std::string("(none)") : *value;
}

const char *const Configuration = R"({
  "version": 7, "unknown": {"future": [1, 2]},
  "routes": [
    {"name": "r1", "host": "a.example", "path_prefix": "/q/", "kind": "stream",
     "timeout_ms": 10000, "goal_ms": 300, "priority": 1, "max_attempts": 2, "no_auth": false,
     "sticky": true, "resumable": true, "gap_target_ms": 250,
     "backends": [{"service": "llm", "weight": 90}, {"service": "app", "weight": 10}]},
    {"name": "r2", "host": "a.example", "path_prefix": "/o/", "kind": "non_idempotent",
     "timeout_ms": 1200, "goal_ms": 150, "priority": 2, "max_attempts": 1, "no_auth": true,
     "service": "app"},
    {"name": "r3", "host": "a.example", "path_prefix": "/n/", "kind": "of another age",
     "timeout_ms": 1200, "service": "app"}],
  "services": [
    {"name": "llm", "max_conns": 374, "cold_s": 3.0, "cold_per_s": 14.0,
     "engine": {"slots": 16, "kv_tokens": 405000, "stride": 34, "step_ms": 1.31,
       "per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0,
       "pairs_per_m": 0.162, "chunk": 2048, "hop_ms": 0.1}},
    {"name": "app", "max_conns": 110, "cold_s": "long", "cold_per_s": -1}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000},
  "tenants": [{"name": "cakes", "api_keys": ["k1", "k2"], "priority": 1}]})";

} // namespace

TEST_CASE("Request headers are parsed into metadata", "[Platform][PlatformProtocol]")
{
    const PlatformProtocol protocol;
    const RequestMetadata metadata = protocol.parseRequestHeaders(
            {{"Host", "A.example:80"},
             {"x-request-id", "9c41"},
             {"X-Deadline-Ms", "10000"},
             {"Api-Key", "k1"},
             {"X-Token-Counts", "1460,80"},
             {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
             {"Last-Event-Id", "12"}});
    CHECK(metadata.hostName == "a.example");
    CHECK(metadata.requestId == "9c41");
    CHECK(metadata.callerTimeout == milliseconds(10'000));
    CHECK(metadata.apiKey == "k1");
    CHECK(metadata.promptTokens == 1'460);
    CHECK(metadata.sharedPromptParts == std::vector<std::string>{"5c1e07a2", "91bd3f06"});
    CHECK(metadata.outputTokens == 80);
    CHECK(metadata.resumeAfter == 12U);

    SECTION("values that cannot be parsed count as absent")
    {
        const RequestMetadata invalid =
                protocol.parseRequestHeaders({{"X-Deadline-Ms", "soon"},
                                              {"X-Token-Counts", "many"},
                                              {"Last-Event-Id", "-1"},
                                              {"X-Prompt-Prefix", ",:5,a,"}});
        CHECK(invalid.sharedPromptParts == std::vector<std::string>{"a"});
        CHECK_FALSE(invalid.callerTimeout);
        CHECK_FALSE(invalid.resumeAfter);
        CHECK(invalid.promptTokens == 0);
        CHECK(invalid.hostName.empty());
    }
    SECTION("a bounded number of prompt parts is kept, the last one never")
    {
        const auto partsOf = [&protocol](const std::string &text) {
            return protocol.parseRequestHeaders({{"X-Prompt-Prefix", text}}).sharedPromptParts;
        };
        CHECK(partsOf("").empty());
        CHECK(partsOf("a:1").empty());
        std::string many = "last:1";
        for (int part = 0; part < 1'000; ++part)
            many.insert(0, "p:1,");
        CHECK(partsOf(many).size() == 32);
    }
}

TEST_CASE("A dispatched request has the caller's headers and those of the gateway",
          "[Platform][PlatformProtocol]")
{
    const PlatformProtocol protocol;
    DispatchMetadata metadata;
    metadata.remainingTime = milliseconds(9'876);
    metadata.expectedServer = "i-1";
    metadata.workspace = "cakes";
    metadata.helpers = {{{"10.0.0.1", 80}, "t1"}, {{"10.0.0.2", 80}, ""}};
    const HttpHeaders headers = protocol.dispatchHeaders({{"Host", "a.example"},
                                                          {"X-Request-Id", "9c41"},
                                                          {"X-Prompt-Prefix", "5c:800"},
                                                          {"Connection", "keep-alive, X-Hop"},
                                                          {"X-Hop", "1"},
                                                          {"Transfer-Encoding", "chunked"},
                                                          {"Api-Key", "k1"},
                                                          {"X-Tenant", "forged"},
                                                          {"X-Helpers", "forged"},
                                                          {"X-Request-Priority", "0"},
                                                          {"X-Expect-Instance", "forged"},
                                                          {"X-Deadline-Ms", "99999"}},
                                                         metadata);
    CHECK(headerValue(headers, "Host") == "a.example");
    CHECK(headerValue(headers, "X-Request-Id") == "9c41");
    CHECK(headerValue(headers, "X-Prompt-Prefix") == "5c:800");
    CHECK(headerValue(headers, "X-Deadline-Ms") == "9876");
    CHECK(headerValue(headers, "X-Expect-Instance") == "i-1");
    CHECK(headerValue(headers, "X-Tenant") == "cakes");
    CHECK(headerValue(headers, "X-Helpers") == "10.0.0.1:80/t1,10.0.0.2:80");
    for (const char *absent : {"Api-Key", "Connection", "X-Hop", "Transfer-Encoding",
                               "X-Request-Priority", "Last-Event-Id"})
        CHECK(headerValue(headers, absent) == "(none)");
}

TEST_CASE("Response heads are parsed into metadata", "[Platform][PlatformProtocol]")
{
    const PlatformProtocol protocol;
    const ResponseMetadata signedResponse =
            protocol.parseResponseHead(200, {{"X-Server-Seal", "s"}, {"X-Server-Load", "3,0,8"}});
    CHECK(signedResponse.isSigned);
    CHECK_FALSE(signedResponse.notRun);
    REQUIRE(signedResponse.load);
    CHECK(signedResponse.load->running == 3);
    CHECK(signedResponse.load->slots == 8);
    CHECK(protocol.parseResponseHead(503, {{"X-Not-Executed", "1"}}).notRun);
    CHECK(protocol.parseResponseHead(200, {{"Server-Leaving", "1"}}).serverLeaving);
    CHECK_FALSE(protocol.parseResponseHead(200, {{"Server-Leaving", "0"}}).serverLeaving);
    CHECK_FALSE(protocol.parseResponseHead(200, {}).serverLeaving);
    const auto pauseOf = [&protocol](int status, const std::string &value) {
        return protocol.parseResponseHead(status, {{"Retry-After", value}}).requestedPause;
    };
    CHECK(pauseOf(503, "4") == std::chrono::seconds(4));
    CHECK(pauseOf(503, "0.25") == std::chrono::milliseconds(250));
    CHECK(pauseOf(503, "1e300") == std::chrono::hours(24));
    for (const char *invalid : {"0", "-3", "", "soon", "nan", "4 s", "-inf"})
        CHECK_FALSE(pauseOf(503, invalid));
    CHECK_FALSE(pauseOf(429, "4"));
    CHECK_FALSE(protocol.parseResponseHead(503, {}).requestedPause);
    CHECK_FALSE(protocol.parseResponseHead(503, {}).notRun);
    CHECK(protocol.parseResponseHead(421, {}).isWrongServer);
    CHECK(protocol.parseResponseHead(421, {}).notRun);
    CHECK(protocol.parseResponseHead(200, {{"Content-Encoding", "gzip"}}).hasContentEncoding);
    CHECK_FALSE(protocol.parseResponseHead(200, {{"X-Server-Load", "3,8"}}).load);
    CHECK(headerValue(protocol.refusalHeaders({}, milliseconds(1'250)), "Retry-After") == "1.250");
}

TEST_CASE("The limit that a server names is read from any of its answers",
          "[Platform][PlatformProtocol]")
{
    const PlatformProtocol protocol;
    const auto parse = [&](int status, const std::vector<std::string> &values) {
        HttpHeaders headers;
        for (const std::string &value : values)
            headers.emplace_back("server-limit", value);
        return protocol.parseResponseHead(status, headers);
    };

    SECTION("success and refusal alike")
    {
        CHECK(parse(200, {"1.8"}).requestLimit == 1.8);
        CHECK(parse(503, {"0.5"}).requestLimit == 0.5);
        CHECK(parse(200, {"0"}).requestLimit == 0.0);
        CHECK(parse(200, {" 12 "}).requestLimit == 12.0);
        CHECK_FALSE(parse(200, {}).requestLimit);
        CHECK_FALSE(parse(200, {}).hasInvalidLimit);
    }
    SECTION("the lowest of several")
    {
        CHECK(parse(200, {"3", "1.8"}).requestLimit == 1.8);
        CHECK(parse(200, {"1.8, 3"}).requestLimit == 1.8);
    }
    SECTION("what is no number of at least 0 is reported as invalid")
    {
        for (const char *value : {"", "-1", "nan", "inf", "1.8x", "x", "1e999", "1.8,", ",1"}) {
            CAPTURE(value);
            CHECK_FALSE(parse(200, {value}).requestLimit);
            CHECK(parse(200, {value}).hasInvalidLimit);
        }
        CHECK(parse(200, {"1.8", "x"}).hasInvalidLimit);
    }
}

TEST_CASE("Objects of the metadata store are parsed", "[Platform][PlatformProtocol]")
{
    const PlatformProtocol protocol;
    SECTION("a configuration with unknown fields")
    {
        const auto parsed = protocol.parseConfiguration(Configuration);
        REQUIRE(parsed);
        CHECK(parsed->version == 7);
        REQUIRE(parsed->routes.size() == 3);
        CHECK(parsed->routes[0].kind == RouteKind::Stream);
        CHECK(parsed->routes[0].resumable);
        CHECK(parsed->routes[0].pools.size() == 2);
        CHECK(parsed->routes[0].eventGapGoal == milliseconds(250));
        CHECK(parsed->routes[1].kind == RouteKind::AtMostOnce);
        CHECK(parsed->routes[1].allowsAnonymous);
        // Requests of an unknown kind must never run twice.
        CHECK(parsed->routes[2].kind == RouteKind::AtMostOnce);
        CHECK(parsed->pools.at("llm").engine->memoryTokens == 405'000);
        CHECK(parsed->pools.at("llm").engine->prefillTokensPerMs == Approx(154.0));
        CHECK(parsed->pools.at("llm").engine->supportsSplitPrefill);
        CHECK_FALSE(parsed->pools.at("app").engine);
        CHECK(parsed->pools.at("llm").warmUpTime == milliseconds(3'000));
        CHECK(parsed->pools.at("llm").warmUpRate == 14.0);
        CHECK(parsed->pools.at("app").warmUpTime == Duration::zero());
        CHECK(parsed->pools.at("app").warmUpRate == 0.0);
        CHECK(parsed->requiresApiKeys);
        CHECK(parsed->workspacesByApiKey.at("k2").name == "cakes");
        CHECK(parsed->limits.idleTimeout == milliseconds(15'000));
    }
    SECTION("a server entry with its incarnation")
    {
        const auto parsed = protocol.parseServer(
                "i-1", R"({"service":"llm","address":"10.0.0.1:80","zone":"z","version":"v1",
                "slots":16,"state":"ready","cold_left_ms":0,"seq":4,"born":1769006097000})");
        REQUIRE(parsed);
        CHECK(parsed->id == "i-1");
        CHECK(parsed->endpoint.text() == "10.0.0.1:80");
        CHECK(parsed->incarnation == 1'769'006'097'000);
        CHECK_FALSE(parsed->draining);
        CHECK(parsed->warmUpLeft == Duration::zero());
    }
    SECTION("a server entry with or without word of a warm-up")
    {
        const auto warmUpLeft = [&protocol](const std::string &field) {
            const auto parsed = protocol.parseServer(
                    "i-1", R"({"service":"llm","address":"10.0.0.1:80","zone":"z","slots":16,)"
                                   + field + R"("state":"ready"})");
            REQUIRE(parsed);
            return parsed->warmUpLeft;
        };
        CHECK(warmUpLeft(R"("cold_left_ms":2400.5,)") == std::chrono::microseconds(2'400'500));
        CHECK_FALSE(warmUpLeft(""));
        CHECK_FALSE(warmUpLeft(R"("cold_left_ms":"soon",)"));
        CHECK_FALSE(warmUpLeft(R"("cold_left_ms":-1,)"));
    }
    SECTION("an invalid server entry is rejected with an error message")
    {
        for (const char *invalidText :
             {"", "{", "[]", "null", R"({"service":"llm"})",
              R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})",
              R"({"service":"a","address":"nowhere:80","zone":"z","slots":1,"state":"ready"})",
              R"({"service":"a","address":"10.0.0.1:0","zone":"z","slots":1,"state":"ready"})",
              R"({"service":"a","address":"10.0.0.1:x","zone":"z","slots":1,"state":"ready"})",
              R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":"1","state":"ready"})",
              R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":1,"state":"lost"})"}) {
            INFO(invalidText);
            const auto parsed = protocol.parseServer("i-1", invalidText);
            REQUIRE_FALSE(parsed);
            CHECK_FALSE(parsed.error().empty());
        }
    }
    SECTION("a name that no header can carry is rejected")
    {
        const std::string name = GENERATE(as<std::string>(), "a\r\nX-Tenant: b", "a\nb",
                                          std::string("a\0b", 3), "a\x7f", "\x01");
        const std::string quoted = nlohmann::json(name).dump();
        const std::string entry =
                R"("address":"10.0.0.1:80","zone":"z","slots":1,"state":"ready"})";
        const std::string start = R"({"version":7,"routes":[],"services":[{"name":)";
        INFO(quoted);
        CHECK(protocol.parseServer("i-1", R"({"service":"llm",)" + entry));
        CHECK_FALSE(protocol.parseServer(name, R"({"service":"llm",)" + entry));
        CHECK(protocol.parseConfiguration(start + R"("llm"}]})"));
        CHECK_FALSE(protocol.parseConfiguration(start + quoted + "}]}"));
        CHECK_FALSE(protocol.parseConfiguration(start + R"("llm"}],"tenants":[{"name":)" + quoted
                                                + R"(,"api_keys":["k"]}]})"));
    }
    SECTION("an invalid configuration is rejected")
    {
        for (const char *invalidText :
             {"", "{}", R"({"version":"7"})", R"({"version":7,"routes":[{}]})"}) {
            INFO(invalidText);
            CHECK_FALSE(protocol.parseConfiguration(invalidText));
        }
    }
}

TEST_CASE("Memory reservations are encoded as JSON requests", "[Platform][PlatformProtocol]")
{
    const PlatformProtocol protocol;
    const HttpRequest reserve = protocol.reservationRequest(
            {"t1", "i-1", {"10.0.0.1", 80}, 60'000, milliseconds(3'000)});
    CHECK(reserve.target == "/-/order");
    CHECK(headerValue(reserve.headers, "X-Expect-Instance") == "i-1");
    CHECK(*reserve.body == R"({"hold_ms":3000,"id":"t1","op":"reserve","tokens":60000})");
    const HttpRequest release =
            protocol.reservationRequest({"t1", "i-1", {"10.0.0.1", 80}, 0, Duration::zero()});
    CHECK(*release.body == R"({"id":"t1","op":"release"})");
}
