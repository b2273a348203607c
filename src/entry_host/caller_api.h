#pragma once

#include "coordination/request.h"
#include "core/random_source.h"
#include "protocol/caller_protocol.h"
#include "state/settings.h"
#include "transport/http_server.h"

#include <functional>
#include <unordered_map>

namespace dotterel {

/// Hears of callers' requests.
class CallerListener
{
public:
    virtual ~CallerListener() = default;

    /// A well-formed request arrived.
    virtual void onRequest(const Request &request) = 0;

    /// A request was refused before it got an id of its own.
    virtual void onMalformedRequest(const Failure &failure) = 0;

    /// The caller of \a request closed its connection.
    virtual void onCallerGone(const RequestId &request) = 0;

    /// The caller of \a request leaves too much of its answer unread, or has read it after all.
    virtual void onCallerBlocked(const RequestId &request, bool blocked) = 0;
};

/// Serves callers over HTTP:
///
/// - `POST /v1/completions`: JSON as OpenAI-style APIs take it; the model names the pool.
/// - any method on `/v1/services/POOL/PATH`: passed to a server of the pool as `/PATH`.
///
/// Headers: `X-Workspace`, `X-Request-Class`, `Idempotency-Key`.
class CallerApi
{
public:
    CallerApi(EventLoop &loop, const Settings &settings, const HostIdentity &identity,
              CallerListener &listener);

    /// Passes a piece of an answer on.
    void deliverText(const RequestId &request, const std::string &text);

    /// Ends a whole answer of \a tokens tokens.
    void finishAnswer(const RequestId &request, std::uint64_t tokens);

    /// Passes the answer of a plain service on.
    void deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer);

    /// Ends the request with \a failure.
    void refuse(const RequestId &request, const Failure &failure);

    /// Closes each connection after its next answer, so that callers go to other hosts.
    void closeAfterReplies() { this->server.closeAfterReplies(); }

    /// Stops taking new connections.
    void stopListening() { this->server.stopListening(); }

    /// Returns true if every answer has been sent to its last byte.
    bool idle() const { return this->server.idle(); }

    /// Returns how many bytes of running answers callers have not taken yet.
    std::size_t unsentBytes() const;

    /// Returns how many bytes callers have sent; it grows while a request is still being read.
    std::uint64_t receivedBytes() const { return this->server.receivedBytes(); }

    /// The address and port in use.
    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    struct Open
    {
        HttpExchangePointer exchange;
        std::string model;
        bool stream = false;
        bool started = false;
        bool blocked = false; ///< Too much of the answer is unread.
        std::string text;     ///< Collected when the answer is not streamed.
        std::uint64_t promptTokens = 0;
    };

    void handle(const HttpExchangePointer &exchange);
    void handleCompletion(const HttpExchangePointer &exchange);
    void handleService(const HttpExchangePointer &exchange);
    void accept(const HttpExchangePointer &exchange, Request request, Open open);
    void replyFailure(const HttpExchangePointer &exchange, const Failure &failure);
    void rejectMalformed(const HttpExchangePointer &exchange, Reason reason,
                         const std::string &detail);
    void onDrained(const RequestId &request);
    Open *openRequest(const RequestId &request);

    Settings settings;
    HostIdentity identity;
    CallerListener &listener;
    std::uint64_t sequence = 0;
    std::unordered_map<RequestId, Open> requests;
    HttpServer server;
};

} // namespace dotterel
