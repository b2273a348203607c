#pragma once

#include "coordination/request.h"
#include "core/random_source.h"
#include "protocol/caller_protocol.h"
#include "state/settings.h"
#include "transport/http_server.h"

#include <functional>
#include <unordered_map>

namespace dotterel {

/// Receives the requests of callers and changes of their connections.
class CallerListener
{
public:
    virtual ~CallerListener() = default;

    /// A well-formed request arrived.
    virtual void onRequest(const Request &request) = 0;

    /// A request was refused before a request id was assigned to it.
    virtual void onMalformedRequest(const Failure &failure) = 0;

    /// The caller of \a request closed its connection.
    virtual void onCallerDisconnected(const RequestId &request) = 0;

    /// The unsent part of the response to \a request exceeds the watermark (\a blocked), or has
    /// been sent completely.
    virtual void onCallerBlocked(const RequestId &request, bool blocked) = 0;
};

/// Serves callers over HTTP:
///
/// - `POST /v1/completions`: JSON body as in OpenAI-style APIs; `model` selects the pool.
/// - any method on `/v1/services/POOL/PATH`: forwarded to a server of the pool as `/PATH`.
///
/// Request headers: `X-Workspace`, `X-Request-Class`, `Idempotency-Key`.
class CallerApi
{
public:
    CallerApi(EventLoop &loop, const Settings &settings, const HostIdentity &identity,
              CallerListener &listener);

    /// Sends a piece of generated text, or buffers it if the response is not streamed.
    void deliverText(const RequestId &request, const std::string &text);

    /// Ends a complete response of \a tokens tokens.
    void finishAnswer(const RequestId &request, std::uint64_t tokens);

    /// Sends the response of a service.
    void deliverServiceAnswer(const RequestId &request, const ServiceAnswer &answer);

    /// Ends \a request with \a failure: as a problem document, or as an error event if the stream
    /// has started.
    void refuse(const RequestId &request, const Failure &failure);

    /// Closes each connection after its next response, so that callers reconnect to other hosts.
    void closeAfterReplies() { this->server.closeAfterReplies(); }

    /// Stops accepting new connections.
    void stopListening() { this->server.stopListening(); }

    /// Returns true if every response has been sent completely.
    bool idle() const { return this->server.isIdle(); }

    /// Returns the number of buffered response bytes that callers have not read yet.
    std::size_t unsentBytes() const;

    /// Returns the number of bytes received from callers, including requests that are incomplete.
    std::uint64_t receivedBytes() const { return this->server.receivedBytes(); }

    /// The bound address and port.
    Endpoint endpoint() const { return this->server.endpoint(); }

private:
    struct OpenRequest
    {
        HttpExchangePtr exchange;
        std::string model;
        bool stream = false;
        bool streamStarted = false;
        bool readerBlocked = false; ///< The unsent bytes have exceeded the watermark.
        std::string bufferedText;   ///< Buffered text of a response that is not streamed.
        std::uint64_t promptTokens = 0;
    };

    void handleExchange(const HttpExchangePtr &exchange);
    void handleCompletion(const HttpExchangePtr &exchange);
    void handleService(const HttpExchangePtr &exchange);
    void acceptRequest(const HttpExchangePtr &exchange, Request request, OpenRequest open);
    void replyWithProblem(const HttpExchangePtr &exchange, const Failure &failure);
    void rejectMalformed(const HttpExchangePtr &exchange, Reason reason, const std::string &detail);
    void onResponseDrained(const RequestId &request);
    OpenRequest *findOpenRequest(const RequestId &request);

    Settings settings;
    HostIdentity identity;
    CallerListener &listener;
    std::uint64_t lastRequestNumber = 0;
    std::unordered_map<RequestId, OpenRequest> openRequests;
    HttpServer server;
};

} // namespace dotterel
