#include "entry_host/gateway_attempts.h"

namespace dotterel {

/// An attempt that has not ended, and its HTTP call.
class GatewayAttempts::Run : public HttpListener
{
public:
    Run(GatewayAttempts &owner, ForwardAttemptId id)
        : owner(owner)
        , id(id)
    {}

    void onHead(int status, const HttpHeaders &headers) override
    {
        this->owner.controller.onAttemptHead(this->id, status, headers, this->owner.loop.now());
    }

    void onData(std::string_view bytes) override
    {
        this->owner.controller.onAttemptData(this->id, bytes, this->owner.loop.now());
        this->owner.settled();
    }

    void onComplete() override
    {
        const std::shared_ptr<Run> self = this->owner.take(this->id);
        this->owner.controller.onAttemptComplete(this->id, this->owner.loop.now());
        this->owner.settled();
    }

    void onFailed(const HttpFailure &failure) override
    {
        const std::shared_ptr<Run> self = this->owner.take(this->id);
        this->owner.controller.onAttemptFailed(this->id, failure, this->owner.loop.now());
        this->owner.settled();
    }

    std::unique_ptr<HttpCall> call;

private:
    GatewayAttempts &owner;
    ForwardAttemptId id;
};

GatewayAttempts::GatewayAttempts(EventLoop &loop, HttpSender &client, ForwardController &controller,
                                 std::function<void()> settled)
    : loop(loop)
    , client(client)
    , controller(controller)
    , settled(std::move(settled))
{}

GatewayAttempts::~GatewayAttempts() = default;

void GatewayAttempts::send(ForwardAttemptId attempt, const HttpRequest &request)
{
    const auto run = std::make_shared<Run>(*this, attempt);
    this->runs.emplace(attempt, run);
    run->call = this->client.send(request, *run);
}

void GatewayAttempts::cancel(ForwardAttemptId attempt)
{
    const std::shared_ptr<Run> run = this->take(attempt);
    if (!run)
        return;
    run->call.reset();
    // One of its callbacks may still be on the call stack.
    this->loop.disposeLater(run);
}

void GatewayAttempts::pause(ForwardAttemptId attempt, bool paused)
{
    const auto found = this->runs.find(attempt);
    if (found != this->runs.end() && found->second->call)
        found->second->call->pause(paused);
}

std::shared_ptr<GatewayAttempts::Run> GatewayAttempts::take(ForwardAttemptId attempt)
{
    const auto found = this->runs.find(attempt);
    if (found == this->runs.end())
        return nullptr;
    std::shared_ptr<Run> run = found->second;
    this->runs.erase(found);
    return run;
}

} // namespace dotterel
