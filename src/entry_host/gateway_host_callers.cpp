// The part of GatewayHost that brings requests to the controller and carries out its effects.

#include "core/hashing.h"
#include "entry_host/gateway_host.h"

namespace dotterel {

namespace {

constexpr int StatusOk = 200;

} // namespace

KeepAliveHttpServer &GatewayHost::serverOf(HttpCallId &call)
{
    if (!RelayListener::isRelayed(call))
        return this->callerServer;
    call = RelayListener::serverCall(call);
    return this->relayListener.server();
}

void GatewayHost::onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                                std::shared_ptr<const std::string> body)
{
    this->controller.onRequest(call, std::move(head), std::move(body), this->loop.now());
    this->scheduleControllerTimer();
}

void GatewayHost::onHttpPeerClosed(HttpCallId call)
{
    this->controller.onCallerDisconnected(call, this->loop.now());
    this->scheduleControllerTimer();
}

void GatewayHost::onHttpDrained(HttpCallId call)
{
    this->controller.onCallerDrained(call, this->loop.now());
    this->scheduleControllerTimer();
}

void GatewayHost::onHttpRejected(int status)
{
    this->metrics.countRefusal(Reason::MalformedRequest);
    this->log.write(Event::RequestRefused,
                    {{"reason", std::string(reasonInfo(Reason::MalformedRequest).name)},
                     {"status", status},
                     {"verdict", std::string(verdictName(Verdict::NotRun))}});
}

void GatewayHost::sendAttempt(ForwardAttemptId attempt, const HttpRequest &request)
{
    this->attempts.send(attempt, request);
}

void GatewayHost::cancelAttempt(ForwardAttemptId attempt)
{
    this->attempts.cancel(attempt);
}

void GatewayHost::pauseAttempt(ForwardAttemptId attempt, bool paused)
{
    this->attempts.pause(attempt, paused);
}

void GatewayHost::sendResponse(HttpCallId call, int status, const HttpHeaders &headers,
                               std::string_view body)
{
    KeepAliveHttpServer &server = this->serverOf(call);
    server.reply(call, status, headers, body);
}

void GatewayHost::startResponse(HttpCallId call, int status, const HttpHeaders &headers,
                                std::optional<std::uint64_t> length)
{
    KeepAliveHttpServer &server = this->serverOf(call);
    server.startReply(call, status, headers, length);
}

std::size_t GatewayHost::sendResponseData(HttpCallId call, std::string_view bytes)
{
    KeepAliveHttpServer &server = this->serverOf(call);
    server.sendBodyPart(call, bytes);
    return server.unsentBytes(call);
}

void GatewayHost::endResponse(HttpCallId call)
{
    KeepAliveHttpServer &server = this->serverOf(call);
    server.endReply(call);
}

void GatewayHost::abortResponse(HttpCallId call)
{
    KeepAliveHttpServer &server = this->serverOf(call);
    server.abortReply(call);
}

void GatewayHost::publishPromptUpdate(const PromptUpdate &item)
{
    this->promptUpdates.enqueue(item);
}

void GatewayHost::publishServerLeaving(const ServerLeavingNotice &notice)
{
    this->promptUpdates.announceLeaving(notice);
}

void GatewayHost::publishServerLimit(const ServerLimitNotice &notice)
{
    this->promptUpdates.enqueueLimit(notice);
}

void GatewayHost::publishServerWarmUp(const ServerWarmUpNotice &notice)
{
    this->promptUpdates.enqueueWarmUp(notice);
}

void GatewayHost::sendReservationRequest(const MemoryReservationRequest &order)
{
    const std::uint64_t id = this->nextMemoryRequestId++;
    const bool isReservation = order.tokens > 0;
    this->memoryRequests[id] = std::make_unique<HttpFetch>(
            this->httpClient, this->protocol.reservationRequest(order),
            [this, id, isReservation, ticket = order.reservationId, server = order.server,
             sentAt = this->loop.now()](const std::optional<HttpResponse> &response,
                                        const HttpFailure &failure) {
                // The fetch is still on the call stack, so it must not be destroyed here.
                const std::shared_ptr<HttpFetch> finishedFetch =
                        std::move(this->memoryRequests[id]);
                this->memoryRequests.erase(id);
                this->loop.disposeLater(finishedFetch);
                if (response)
                    this->controller.onServerHeaders(server, response->status, response->headers,
                                                     sentAt, this->loop.now());
                const TimePoint now = this->loop.now();
                if (!isReservation && response && response->status == StatusOk)
                    this->controller.onMemoryReleased(ticket, now);
                else if (isReservation && !response && failure.verdict != Verdict::NotRun)
                    this->controller.onReservationUnanswered(ticket, now);
                else if (isReservation)
                    this->controller.onReservationResult(
                            ticket, response && response->status == StatusOk, now);
                this->scheduleControllerTimer();
            });
}

} // namespace dotterel
