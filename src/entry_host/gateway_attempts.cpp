#include "entry_host/gateway_attempts.h"

namespace dotterel {

/// An attempt that has not ended, and its HTTP call.
class GatewayAttempts::ActiveAttempt : public HttpResponseListener
{
public:
    ActiveAttempt(GatewayAttempts &owner, ForwardAttemptId id)
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
        this->owner.onReported();
    }

    void onComplete() override
    {
        const std::shared_ptr<ActiveAttempt> self = this->owner.removeAttempt(this->id);
        this->owner.controller.onAttemptComplete(this->id, this->owner.loop.now());
        this->owner.onReported();
    }

    void onFailed(const HttpFailure &failure) override
    {
        const std::shared_ptr<ActiveAttempt> self = this->owner.removeAttempt(this->id);
        this->owner.controller.onAttemptFailed(this->id, failure, this->owner.loop.now());
        this->owner.onReported();
    }

    std::unique_ptr<HttpCall> call;

private:
    GatewayAttempts &owner;
    ForwardAttemptId id;
};

GatewayAttempts::GatewayAttempts(EventLoop &loop, HttpSender &client, ForwardController &controller,
                                 std::function<void()> onReported)
    : loop(loop)
    , client(client)
    , controller(controller)
    , onReported(std::move(onReported))
{}

GatewayAttempts::~GatewayAttempts() = default;

void GatewayAttempts::send(ForwardAttemptId attempt, const HttpRequest &request)
{
    const auto activeAttempt = std::make_shared<ActiveAttempt>(*this, attempt);
    this->activeAttempts.emplace(attempt, activeAttempt);
    activeAttempt->call = this->client.send(request, *activeAttempt);
}

void GatewayAttempts::cancel(ForwardAttemptId attempt)
{
    const std::shared_ptr<ActiveAttempt> activeAttempt = this->removeAttempt(attempt);
    if (!activeAttempt)
        return;
    activeAttempt->call.reset();
    // One of its callbacks may still be on the call stack.
    this->loop.disposeLater(activeAttempt);
}

void GatewayAttempts::pause(ForwardAttemptId attempt, bool paused)
{
    const auto found = this->activeAttempts.find(attempt);
    if (found != this->activeAttempts.end() && found->second->call)
        found->second->call->pause(paused);
}

std::shared_ptr<GatewayAttempts::ActiveAttempt>
GatewayAttempts::removeAttempt(ForwardAttemptId attempt)
{
    const auto found = this->activeAttempts.find(attempt);
    if (found == this->activeAttempts.end())
        return nullptr;
    std::shared_ptr<ActiveAttempt> activeAttempt = found->second;
    this->activeAttempts.erase(found);
    return activeAttempt;
}

} // namespace dotterel
