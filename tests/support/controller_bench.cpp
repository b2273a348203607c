#include "support/controller_bench.h"

#include <algorithm>

namespace dotterel::support {

tl::expected<PlacementChoice, Failure> FirstPlacement::choose(const PlacementQuery &query,
                                                              TimePoint now)
{
    for (const BackendServer *server : this->directory.usableServers(query.pool, now)) {
        const auto &excluded = query.excluded;
        if (std::find(excluded.begin(), excluded.end(), server->id) == excluded.end())
            return PlacementChoice{server->id, 0, this->predicted, {}};
    }
    return tl::unexpected(
            Failure{Verdict::NotRun, Reason::NoBackendServer, "none", std::chrono::seconds(1)});
}

ControllerBench::ControllerBench(std::size_t servers, const RequestLimits &limits)
    : controller(limits, this->directory, this->placement, this->crashGuard, *this, this->metrics,
                 this->log)
{
    Configuration configuration;
    configuration.version = 1;
    configuration.workspaces["harinal"] = {"harinal", 1.0};
    configuration.requestClasses["question"] = {"question", std::chrono::seconds(10), true};
    configuration.requestClasses["review"] = {"review", std::chrono::seconds(120), true};
    configuration.requestClasses["order"] = {"order", std::chrono::seconds(10), false};
    configuration.pools["model"] = {"model", PoolKind::Model};
    configuration.pools["orders"] = {"orders", PoolKind::Service};
    for (std::size_t i = 0; i < servers; ++i) {
        const ServerId id = "s" + std::to_string(i);
        configuration.servers[id].id = id;
        configuration.servers[id].pool = "model";
    }
    configuration.servers["o0"].id = "o0";
    configuration.servers["o0"].pool = "orders";
    this->directory.applyConfiguration(configuration);
    this->controller.applyConfiguration(configuration);
}

void ControllerBench::submit(const RequestId &id, const std::string &requestClass,
                             std::uint64_t tokens, const std::string &body)
{
    Request request;
    request.id = id;
    request.workspace = "harinal";
    request.requestClass = requestClass;
    request.pool = requestClass == "order" ? "orders" : "model";
    request.idempotencyKey = id;
    request.body = std::make_shared<const std::string>(body);
    request.promptTokens = tokens;
    this->controller.submit(request, this->now);
}

void ControllerBench::pass(Duration time)
{
    const TimePoint until = this->now + time;
    for (std::optional<TimePoint> next = this->controller.nextTimer(); next && *next <= until;
         next = this->controller.nextTimer()) {
        this->now = std::max(this->now, *next);
        this->controller.onTimer(this->now);
    }
    this->now = until;
}

const ControllerBench::Sent &ControllerBench::last(const RequestId &id) const
{
    const auto found = std::find_if(this->sent.rbegin(), this->sent.rend(), [&id](const Sent &row) {
        return row.attempt.substr(0, row.attempt.rfind('.')) == id;
    });
    return *found;
}

void ControllerBench::token(const AttemptId &attempt, std::uint64_t index)
{
    const RequestId request = attempt.substr(0, attempt.rfind('.'));
    this->controller.onToken(attempt, {attempt, index, tokenText(request, index)}, this->now);
}

void ControllerBench::end(const AttemptId &attempt, std::uint64_t count)
{
    this->controller.onAnswerEnd(attempt, {attempt, count}, this->now);
}

void ControllerBench::fail(const AttemptId &attempt, Verdict verdict, Reason reason,
                           ServerFault fault)
{
    this->controller.onAttemptFailed(attempt, {{verdict, reason, "", std::nullopt}, fault},
                                     this->now);
}

void ControllerBench::sendAttempt(const AttemptRequest &order)
{
    this->sent.push_back({order.attempt, order.server.id, order.resumeAt});
}

void ControllerBench::deliverText(const RequestId &request, const std::string &text)
{
    this->callers[request].text += text;
}

void ControllerBench::finishAnswer(const RequestId &request, std::uint64_t /*tokens*/)
{
    this->callers[request].whole = true;
    ++this->callers[request].ends;
}

void ControllerBench::deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer)
{
    this->callers[request].answer = answer;
    ++this->callers[request].ends;
}

void ControllerBench::refuse(const RequestId &request, const Failure &failure)
{
    this->callers[request].failure = failure;
    ++this->callers[request].ends;
}

std::string tokenText(const RequestId &request, std::uint64_t index)
{
    return request + ":" + std::to_string(index) + " ";
}

} // namespace dotterel::support
