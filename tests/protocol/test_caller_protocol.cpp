#include "protocol/caller_protocol.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("Completion requests are parsed without changing the body", "[Protocol][CallerProtocol]")
{
    SECTION("a complete request with its fields in any order")
    {
        std::string body = R"({"prompt":"Hola","stream":true,"max_tokens":3,"x":[1],"model":"m"})";
        const std::string before = body;
        const tl::expected<CompletionRequest, std::string> request = parseCompletionRequest(body);
        REQUIRE(request);
        CHECK(request->model == "m");
        CHECK(request->stream);
        CHECK(request->maxTokens == 3);
        CHECK(request->promptTokens == 1);
        CHECK(body == before);
    }
    SECTION("the error for a malformed body names the invalid field")
    {
        struct Case
        {
            std::string body;
            std::string message;
        };
        const std::vector<Case> cases = {
                {"", "object"},
                {"[1]", "object"},
                {"nul", "object"},
                {R"({"model":"m","prompt":"p")", "object"},
                {R"({"model":"m" "prompt":"p"})", "object"},
                {R"({"model":"m","prompt":"p"} x)", "object"},
                {"{\"model\":\"m\",\"prompt\":\"\xff\"}", "object"},
                {"{}", "\"model\""},
                {R"({"model":7,"prompt":"p"})", "\"model\""},
                {R"({"model":"m"})", "\"prompt\""},
                {R"({"model":"m","prompt":7})", "\"prompt\""},
                {R"({"model":"m","prompt":"\q"})", "\"prompt\""},
                {R"({"model":"m","prompt":"p","stream":1})", "\"stream\""},
                {R"({"model":"m","prompt":"p","max_tokens":-1})", "\"max_tokens\""},
        };
        for (const Case &bad : cases) {
            CAPTURE(bad.body);
            std::string body = bad.body;
            const tl::expected<CompletionRequest, std::string> request =
                    parseCompletionRequest(body);
            REQUIRE_FALSE(request);
            CHECK(request.error().find(bad.message) != std::string::npos);
        }
    }
    SECTION("prompts with a common prefix have equal hashes for its blocks")
    {
        const std::string start(8'192, 'a');
        std::string left = R"({"model":"m","prompt":")" + start + std::string(4'096, 'b') + "\"}";
        std::string right = R"({"model":"m","prompt":")" + start + std::string(4'096, 'c') + "\"}";
        const std::vector<std::uint64_t> first = parseCompletionRequest(left)->prefixHashes;
        const std::vector<std::uint64_t> second = parseCompletionRequest(right)->prefixHashes;
        REQUIRE(first.size() == 3);
        REQUIRE(second.size() == 3);
        CHECK(first[0] == second[0]);
        CHECK(first[1] == second[1]);
        CHECK(first[2] != second[2]);
    }
}
