#include "protocol/caller_protocol.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("Completion requests are parsed without changing the body", "[Protocol][CallerProtocol]")
{
    SECTION("a complete request with its fields in any order")
    {
        std::string body = R"({"prompt":"Hola","stream":true,"max_tokens":3,"x":[1],"model":"m"})";
        const std::string originalBody = body;
        const tl::expected<CompletionRequest, std::string> request = parseCompletionRequest(body);
        REQUIRE(request);
        CHECK(request->model == "m");
        CHECK(request->stream);
        CHECK(request->maxTokens == 3);
        CHECK(request->promptTokens == 1);
        CHECK(body == originalBody);
    }
    SECTION("the error for a malformed body names the invalid field")
    {
        struct Case
        {
            std::string body;
            std::string expectedText;
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
        for (const Case &malformed : cases) {
            CAPTURE(malformed.body);
            std::string body = malformed.body;
            const tl::expected<CompletionRequest, std::string> request =
                    parseCompletionRequest(body);
            REQUIRE_FALSE(request);
            CHECK(request.error().find(malformed.expectedText) != std::string::npos);
        }
    }
    SECTION("prompts with a common prefix have equal hashes for its blocks")
    {
        const std::string sharedPrefix(8'192, 'a');
        std::string firstBody =
                R"({"model":"m","prompt":")" + sharedPrefix + std::string(4'096, 'b') + "\"}";
        std::string secondBody =
                R"({"model":"m","prompt":")" + sharedPrefix + std::string(4'096, 'c') + "\"}";
        const std::vector<std::uint64_t> firstHashes =
                parseCompletionRequest(firstBody)->prefixHashes;
        const std::vector<std::uint64_t> secondHashes =
                parseCompletionRequest(secondBody)->prefixHashes;
        REQUIRE(firstHashes.size() == 3);
        REQUIRE(secondHashes.size() == 3);
        CHECK(firstHashes[0] == secondHashes[0]);
        CHECK(firstHashes[1] == secondHashes[1]);
        CHECK(firstHashes[2] != secondHashes[2]);
    }
}
