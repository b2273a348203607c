#include "entry_host/http_backend_client.h"

#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace dotterel;
using namespace dotterel::support;

namespace {

/// Records the result of an attempt.
struct RecordedResult : AttemptListener
{
    void onToken(const AttemptId &, const AnswerToken &token) override { this->text += token.text; }
    void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end) override
    {
        this->ended = this->ended || end.attempt == attempt;
    }
    void onServiceAnswer(const AttemptId &, const ServiceAnswer &response) override
    {
        this->serviceAnswer = response;
    }
    void onAttemptFailed(const AttemptId &, const AttemptFailure &attemptFailure) override
    {
        this->failure = attemptFailure;
    }
    bool done() const { return this->ended || this->serviceAnswer || this->failure; }

    std::string text;
    bool ended = false;
    std::optional<ServiceAnswer> serviceAnswer;
    std::optional<AttemptFailure> failure;
};

struct BackendClientFixture
{
    RecordedResult run(PoolKind kind, const Endpoint &endpoint, std::size_t bodyBytes = 100)
    {
        RecordedResult result;
        HttpBackendClient backend(this->loop, this->client, {"host", 1, "centro-a"}, result);
        Request request;
        request.method = "POST";
        request.target = "/v1/orders";
        request.body = std::make_shared<const std::string>(bodyBytes, 'b');
        AttemptRequest order;
        order.attempt = "h.1.1.1";
        order.kind = kind;
        order.server.endpoint = endpoint;
        order.deadline = this->loop.now() + std::chrono::milliseconds(300);
        order.request = &request;
        backend.send(order);
        const TimePoint limit = this->loop.now() + std::chrono::seconds(5);
        while (!result.done() && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake =
                    this->loop.after(std::chrono::milliseconds(50), [] {});
            this->loop.runOnce(true);
        }
        return result;
    }

    EventLoop loop;
    HttpClient client{this->loop};
};

struct FailureCase
{
    const char *description;
    PoolKind kind;
    Script script;
    Verdict verdict;
    Reason reason;
    ServerFault fault;
    std::size_t bodyBytes = 100;
};

constexpr std::size_t LargeBodyBytes = 5'000'000;
const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string tokenChunk(const AttemptId &attempt, std::uint64_t index)
{
    return chunk(encodeEngineEvent(AnswerToken{attempt, index, "t"}));
}

std::vector<FailureCase> failureCases()
{
    const std::string ownAttempt = "h.1.1.1";
    const std::string refusalHead = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\n";
    const PoolKind model = PoolKind::Model;
    const PoolKind service = PoolKind::Service;
    const Verdict mayHaveRun = Verdict::MayHaveRun;
    const ServerFault died = ServerFault::ConnectionLost;
    const ServerFault none = ServerFault::None;
    return {
            {"connection reset after accept",
             service,
             {0, "", ScriptEnd::Reset},
             mayHaveRun,
             Reason::BackendFailed,
             died},
            {"connection reset while the request is being written",
             service,
             {1'000, "", ScriptEnd::Reset},
             mayHaveRun,
             Reason::BackendFailed,
             died,
             LargeBodyBytes},
            {"connection closed without a response",
             service,
             {150, "", ScriptEnd::Close},
             mayHaveRun,
             Reason::BackendFailed,
             died},
            {"connection reset without a response",
             model,
             {150, "", ScriptEnd::Reset},
             mayHaveRun,
             Reason::BackendFailed,
             died},
            {"no response before the deadline",
             service,
             {1, "", ScriptEnd::Hold},
             mayHaveRun,
             Reason::BackendFailed,
             ServerFault::Unreachable},
            {"response head truncated",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Le", ScriptEnd::Close},
             mayHaveRun,
             Reason::BackendFailed,
             died},
            {"response is not HTTP",
             service,
             {1, "nonsense\r\n\r\n", ScriptEnd::Close},
             mayHaveRun,
             Reason::BackendFailed,
             died},
            {"response without its body",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"body shorter than its Content-Length",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"chunked body without last chunk",
             service,
             {1, ChunkedHead + chunk("abc")},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"body without Content-Length or chunked encoding",
             service,
             {1, "HTTP/1.1 200 OK\r\n\r\nabc"},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"body incomplete at the deadline",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", ScriptEnd::Hold},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"refusal with X-Not-Run",
             service,
             {1, refusalHead + "Content-Length: 0\r\n\r\n"},
             Verdict::NotRun,
             Reason::BackendRefused,
             none},
            {"refusal by a draining server",
             model,
             {1, refusalHead + "X-Draining: true\r\nContent-Length: 0\r\n\r\n"},
             Verdict::NotRun,
             Reason::BackendRefused,
             ServerFault::Draining},
            {"refusal while the request body is being written",
             model,
             {1'000, refusalHead + "Content-Length: 0\r\n\r\n"},
             Verdict::NotRun,
             Reason::BackendRefused,
             none,
             LargeBodyBytes},
            {"X-Not-Run with a success status",
             service,
             {1, "HTTP/1.1 200 OK\r\nX-Not-Run: true\r\n\r\n"},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"engine error without X-Not-Run",
             model,
             {1, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"},
             mayHaveRun,
             Reason::BackendFailed,
             none},
            {"event stream without end event",
             model,
             {1, ChunkedHead + tokenChunk(ownAttempt, 0) + "0\r\n\r\n"},
             mayHaveRun,
             Reason::AnswerCut,
             none},
            {"event stream truncated",
             model,
             {1, ChunkedHead + tokenChunk(ownAttempt, 0)},
             mayHaveRun,
             Reason::AnswerCut,
             died},
            {"event with malformed JSON",
             model,
             {1, ChunkedHead + chunk("data: {oops\n\n")},
             mayHaveRun,
             Reason::BackendFailed,
             none},
            {"event with a field of the wrong type",
             model,
             {1, ChunkedHead + chunk("data: {\"attempt\":7,\"index\":0,\"text\":\"t\"}\n\n")},
             mayHaveRun,
             Reason::BackendFailed,
             none},
            {"end event of another attempt",
             model,
             {1, ChunkedHead + chunk(encodeEngineEvent(AnswerEnd{"h.1.2.1", 0})) + "0\r\n\r\n"},
             mayHaveRun,
             Reason::AnswerCut,
             none},
    };
}

} // namespace

TEST_CASE("Every failure of an attempt gets a correct verdict", "[EntryHost][HttpBackendClient]")
{
    BackendClientFixture fixture;

    SECTION("a refused connection counts as not run")
    {
        const RecordedResult result = fixture.run(PoolKind::Service, closedEndpoint());
        REQUIRE(result.failure);
        CHECK(result.failure->failure.verdict == Verdict::NotRun);
        CHECK(result.failure->failure.reason == Reason::BackendConnectFailed);
    }
    SECTION("a connection that is not established by the deadline counts as not run")
    {
        const FullBacklog fullBacklog;
        const RecordedResult result = fixture.run(PoolKind::Service, fullBacklog.endpoint());
        REQUIRE(result.failure);
        CHECK(result.failure->failure.verdict == Verdict::NotRun);
        CHECK(result.failure->failure.reason == Reason::BackendConnectFailed);
    }
    for (const FailureCase &failureCase : failureCases()) {
        DYNAMIC_SECTION("failure: " << failureCase.description)
        {
            ScriptedServer server(fixture.loop, failureCase.script);
            const RecordedResult result =
                    fixture.run(failureCase.kind, server.endpoint(), failureCase.bodyBytes);
            REQUIRE(result.failure);
            CHECK(verdictName(result.failure->failure.verdict) == verdictName(failureCase.verdict));
            CHECK(reasonInfo(result.failure->failure.reason).name
                  == reasonInfo(failureCase.reason).name);
            CHECK(result.failure->serverFault == failureCase.fault);
            CHECK_FALSE(result.ended);
            // "not run" is only correct if the server refused explicitly or never read the whole
            // request.
            const bool refusedExplicitly = failureCase.reason == Reason::BackendRefused;
            if (result.failure->failure.verdict == Verdict::NotRun)
                CHECK((refusedExplicitly || server.wholeRequests() == 0));
        }
    }
    SECTION("a response with a length, with chunks or with a status without body is complete")
    {
        for (const char *rawResponse : {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                                        "HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        "3\r\nabc\r\n0\r\n\r\n",
                                        "HTTP/1.1 204 OK\r\n\r\n"}) {
            ScriptedServer server(fixture.loop, {1, rawResponse});
            const RecordedResult result = fixture.run(PoolKind::Service, server.endpoint());
            INFO(rawResponse);
            REQUIRE(result.serviceAnswer);
            CHECK((result.serviceAnswer->status == 204 || result.serviceAnswer->body == "abc"));
        }
    }
}
