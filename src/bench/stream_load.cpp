#include "bench/stream_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::string_view EventMark = "data: ";
/// An engine ends with `"end":true`, an entry host with `[DONE]`.
constexpr std::string_view EngineEnd = "\"end\":true";
constexpr std::string_view HostEnd = "[DONE]";

std::shared_ptr<const std::string> bodyOf(std::uint64_t promptTokens)
{
    const nlohmann::json json = {{"model", "cake-model"},
                                 {"stream", true},
                                 {"prompt", std::string(promptTokens * BytesPerToken, 'a')}};
    return std::make_shared<const std::string>(json.dump());
}

std::uint64_t countOf(std::string_view text, std::string_view mark)
{
    std::uint64_t count = 0;
    for (std::size_t at = text.find(mark); at != std::string_view::npos;
         at = text.find(mark, at + mark.size()))
        ++count;
    return count;
}

} // namespace

double quantileOf(const std::vector<double> &sorted, double quantile)
{
    if (sorted.empty())
        return 0;
    const double place = quantile * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(place))];
}

/// One stream and the times of its tokens.
class StreamLoad::Stream : public HttpResponseListener
{
public:
    Stream(StreamLoad &owner, std::uint64_t id)
        : owner(owner)
        , id(id)
        , began(owner.loop.now())
    {
        HttpRequest request;
        request.endpoint = owner.plan.target;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers = {{"Content-Type", "application/json"},
                           {"X-Workspace", "harinal"},
                           {"X-Request-Class", "review"},
                           {"X-Attempt-Id", "load-" + std::to_string(id)},
                           {"X-Time-To-Live-Ms", "60000"}};
        request.body = owner.body;
        request.timeout = owner.plan.timeout;
        this->call = owner.client.send(request, *this);
    }

    void onHead(int newStatus, const HttpHeaders & /*headers*/) override
    {
        this->status = newStatus;
    }

    void onData(std::string_view bytes) override
    {
        const TimePoint now = this->owner.loop.now();
        StreamLoadReport &report = this->owner.report;
        if (this->events == 0)
            report.firstToken.push_back(toSeconds(now - this->began));
        else
            report.tokenGap.push_back(toSeconds(now - this->lastToken));
        this->lastToken = now;
        const std::uint64_t arrived = countOf(bytes, EventMark);
        this->events += arrived;
        report.events += arrived;
        this->whole = this->whole || bytes.find(EngineEnd) != std::string_view::npos
                      || bytes.find(HostEnd) != std::string_view::npos;
    }

    void onComplete() override
    {
        constexpr int StatusOk = 200;
        this->owner.ended(this->id, this->whole && this->status == StatusOk);
    }

    void onFailed(const HttpFailure & /*failure*/) override { this->owner.ended(this->id, false); }

private:
    StreamLoad &owner;
    std::uint64_t id;
    TimePoint began;
    TimePoint lastToken;
    std::uint64_t events = 0;
    int status = 0;
    bool whole = false;
    std::unique_ptr<HttpCall> call;
};

StreamLoad::StreamLoad(EventLoop &loop, HttpClient &client, const StreamLoadPlan &plan,
                       Finished finished)
    : loop(loop)
    , client(client)
    , plan(plan)
    , finished(std::move(finished))
    , body(bodyOf(plan.promptTokens))
    , began(loop.now())
    , streams(plan.requests)
{
    const std::uint64_t atOnce = std::min(plan.concurrency, plan.requests);
    for (std::uint64_t i = 0; i < atOnce; ++i)
        this->startNext();
}

StreamLoad::~StreamLoad() = default;

void StreamLoad::startNext()
{
    const std::uint64_t id = this->started++;
    this->streams[id] = std::make_unique<Stream>(*this, id);
}

void StreamLoad::ended(std::uint64_t stream, bool whole)
{
    ++(whole ? this->report.finished : this->report.failed);
    this->loop.disposeLater(std::shared_ptr<Stream>(std::move(this->streams[stream])));
    if (this->started < this->plan.requests) {
        this->startNext();
        return;
    }
    if (this->report.finished + this->report.failed < this->plan.requests)
        return;
    this->report.elapsed = toSeconds(this->loop.now() - this->began);
    std::sort(this->report.firstToken.begin(), this->report.firstToken.end());
    std::sort(this->report.tokenGap.begin(), this->report.tokenGap.end());
    this->finished(this->report);
}

} // namespace dotterel
