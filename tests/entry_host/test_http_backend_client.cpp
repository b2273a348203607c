#include "entry_host/http_backend_client.h"

#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace dotterel;
using namespace dotterel::support;

namespace {

/// Records the result of an attempt.
struct Outcome : AttemptListener
{
    void onToken(const AttemptId &, const AnswerToken &token) override { this->text += token.text; }
    void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end) override
    {
        this->ended = this->ended || end.attempt == attempt;
    }
    void onServiceAnswer(const AttemptId &, const ServiceAnswer &whole) override
    {
        this->answer = whole;
    }
    void onAttemptFailed(const AttemptId &, const AttemptFailure &problem) override
    {
        this->failure = problem;
    }
    bool done() const { return this->ended || this->answer || this->failure; }

    std::string text;
    bool ended = false;
    std::optional<ServiceAnswer> answer;
    std::optional<AttemptFailure> failure;
};

struct Bench
{
    Outcome run(PoolKind kind, const Endpoint &endpoint, std::size_t bodyBytes = 100)
    {
        Outcome outcome;
        HttpBackendClient backend(this->loop, this->client, {"host", 1, "centro-a"}, outcome);
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
        while (!outcome.done() && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake =
                    this->loop.after(std::chrono::milliseconds(50), [] {});
            this->loop.runOnce(true);
        }
        return outcome;
    }

    EventLoop loop;
    HttpClient client{this->loop};
};

struct FaultRow
{
    const char *place;
    PoolKind kind;
    Script script;
    Verdict verdict;
    Reason reason;
    ServerFault fault;
    std::size_t bodyBytes = 100;
};

constexpr std::size_t Megabytes5 = 5'000'000;
const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

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

std::vector<FaultRow> faultRows()
{
    const std::string own = "h.1.1.1";
    const std::string refusal = "HTTP/1.1 503 No\r\nX-Not-Run: true\r\n";
    const PoolKind model = PoolKind::Model;
    const PoolKind service = PoolKind::Service;
    const Verdict unknown = Verdict::MayHaveRun;
    const ServerFault gone = ServerFault::ConnectionLost;
    const ServerFault none = ServerFault::None;
    return {
            {"connection reset after accept",
             service,
             {0, "", ScriptEnd::Reset},
             unknown,
             Reason::BackendFailed,
             gone},
            {"connection reset while the request is being written",
             service,
             {1'000, "", ScriptEnd::Reset},
             unknown,
             Reason::BackendFailed,
             gone,
             Megabytes5},
            {"connection closed without a response",
             service,
             {150, "", ScriptEnd::Close},
             unknown,
             Reason::BackendFailed,
             gone},
            {"connection reset without a response",
             model,
             {150, "", ScriptEnd::Reset},
             unknown,
             Reason::BackendFailed,
             gone},
            {"no response before the deadline",
             service,
             {1, "", ScriptEnd::Hold},
             unknown,
             Reason::BackendFailed,
             ServerFault::Unreachable},
            {"response head truncated",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Le", ScriptEnd::Close},
             unknown,
             Reason::BackendFailed,
             gone},
            {"response is not HTTP",
             service,
             {1, "nonsense\r\n\r\n", ScriptEnd::Close},
             unknown,
             Reason::BackendFailed,
             gone},
            {"response without its body",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
             unknown,
             Reason::AnswerCut,
             gone},
            {"body shorter than its Content-Length",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"},
             unknown,
             Reason::AnswerCut,
             gone},
            {"chunked body without last chunk",
             service,
             {1, Chunked + chunk("abc")},
             unknown,
             Reason::AnswerCut,
             gone},
            {"body without Content-Length or chunked encoding",
             service,
             {1, "HTTP/1.1 200 OK\r\n\r\nabc"},
             unknown,
             Reason::AnswerCut,
             gone},
            {"body incomplete at the deadline",
             service,
             {1, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", ScriptEnd::Hold},
             unknown,
             Reason::AnswerCut,
             gone},
            {"refusal with X-Not-Run",
             service,
             {1, refusal + "Content-Length: 0\r\n\r\n"},
             Verdict::NotRun,
             Reason::BackendRefused,
             none},
            {"refusal by a draining server",
             model,
             {1, refusal + "X-Draining: true\r\nContent-Length: 0\r\n\r\n"},
             Verdict::NotRun,
             Reason::BackendRefused,
             ServerFault::Draining},
            {"refusal while the request body is being written",
             model,
             {1'000, refusal + "Content-Length: 0\r\n\r\n"},
             Verdict::NotRun,
             Reason::BackendRefused,
             none,
             Megabytes5},
            {"X-Not-Run with a success status",
             service,
             {1, "HTTP/1.1 200 OK\r\nX-Not-Run: true\r\n\r\n"},
             unknown,
             Reason::AnswerCut,
             gone},
            {"engine error without X-Not-Run",
             model,
             {1, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"},
             unknown,
             Reason::BackendFailed,
             none},
            {"event stream without end event",
             model,
             {1, Chunked + tokenChunk(own, 0) + "0\r\n\r\n"},
             unknown,
             Reason::AnswerCut,
             none},
            {"event stream truncated",
             model,
             {1, Chunked + tokenChunk(own, 0)},
             unknown,
             Reason::AnswerCut,
             gone},
            {"event with malformed JSON",
             model,
             {1, Chunked + chunk("data: {oops\n\n")},
             unknown,
             Reason::BackendFailed,
             none},
            {"event with a field of the wrong type",
             model,
             {1, Chunked + chunk("data: {\"attempt\":7,\"index\":0,\"text\":\"t\"}\n\n")},
             unknown,
             Reason::BackendFailed,
             none},
            {"end event of another attempt",
             model,
             {1, Chunked + chunk(encodeEngineEvent(AnswerEnd{"h.1.2.1", 0})) + "0\r\n\r\n"},
             unknown,
             Reason::AnswerCut,
             none},
    };
}

} // namespace

TEST_CASE("Every failure of an attempt gets a correct verdict", "[EntryHost][HttpBackendClient]")
{
    Bench bench;

    SECTION("a refused connection counts as not run")
    {
        const Outcome outcome = bench.run(PoolKind::Service, closedEndpoint());
        REQUIRE(outcome.failure);
        CHECK(outcome.failure->failure.verdict == Verdict::NotRun);
        CHECK(outcome.failure->failure.reason == Reason::BackendConnectFailed);
    }
    SECTION("a connection that is not established by the deadline counts as not run")
    {
        const FullBacklog full;
        const Outcome outcome = bench.run(PoolKind::Service, full.endpoint());
        REQUIRE(outcome.failure);
        CHECK(outcome.failure->failure.verdict == Verdict::NotRun);
        CHECK(outcome.failure->failure.reason == Reason::BackendConnectFailed);
    }
    for (const FaultRow &row : faultRows()) {
        DYNAMIC_SECTION("failure: " << row.place)
        {
            ScriptedServer server(bench.loop, row.script);
            const Outcome outcome = bench.run(row.kind, server.endpoint(), row.bodyBytes);
            REQUIRE(outcome.failure);
            CHECK(verdictName(outcome.failure->failure.verdict) == verdictName(row.verdict));
            CHECK(reasonInfo(outcome.failure->failure.reason).name == reasonInfo(row.reason).name);
            CHECK(outcome.failure->serverFault == row.fault);
            CHECK_FALSE(outcome.ended);
            // "not run" is only correct if the server refused explicitly or never read the whole
            // request.
            const bool promised = row.reason == Reason::BackendRefused;
            if (outcome.failure->failure.verdict == Verdict::NotRun)
                CHECK((promised || server.wholeRequests() == 0));
        }
    }
    SECTION("a response with a length, with chunks or with a status without body is complete")
    {
        for (const char *answer : {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                                   "HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "3\r\nabc\r\n0\r\n\r\n",
                                   "HTTP/1.1 204 OK\r\n\r\n"}) {
            ScriptedServer server(bench.loop, {1, answer});
            const Outcome outcome = bench.run(PoolKind::Service, server.endpoint());
            INFO(answer);
            REQUIRE(outcome.answer);
            CHECK((outcome.answer->status == 204 || outcome.answer->body == "abc"));
        }
    }
}
