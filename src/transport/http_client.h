#pragma once

#include "core/verdict.h"
#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dotterel {

/// A request to be sent by an HttpSender.
struct HttpRequest
{
    Endpoint endpoint;
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers;
    std::shared_ptr<const std::string> body;     ///< Shared instead of copied; may be null.
    Duration timeout = std::chrono::seconds(30); ///< From connecting to the end of the response.
    /// Maximum time to establish a connection; zero means that only \a timeout applies.
    Duration connectTimeout = Duration::zero();
    bool requireNewConnection = true; ///< Do not reuse an idle connection.
    /// Header and value that the peer echoes in its response; a response with another value is
    /// discarded, and on a connection that also serves calls without a value, one that lacks the
    /// header. Used only on persistent connections; empty if the peer echoes no header.
    std::pair<std::string, std::string> echoedHeader;
};

/// How an HTTP call failed.
enum class HttpFailureKind {
    ConnectFailed, ///< No connection; no byte of the request was sent.
    Timeout,
    ConnectionLost,
    MalformedResponse,
    ResponseTruncated, ///< The head arrived, but the body is incomplete.
    ResponseTooLarge,  ///< More bytes arrived than the receiver accepts.
};

/// Describes a call that ended without a complete response.
struct HttpFailure
{
    HttpFailureKind kind = HttpFailureKind::ConnectFailed;
    Verdict verdict = Verdict::NotRun; ///< MayHaveRun once bytes may have been sent.
    bool reusedConnection = false;     ///< The request was sent on a reused connection.
};

/// Receives the response to one call. onComplete() and onFailed() are the last calls.
class HttpResponseListener
{
public:
    virtual ~HttpResponseListener() = default;

    /// The status and headers arrived.
    virtual void onHead(int status, const HttpHeaders &headers) = 0;

    /// Part of the body arrived.
    virtual void onData(std::string_view bytes) = 0;

    /// The complete body arrived. HttpClient cannot tell a body that is delimited only by the end
    /// of the connection from a truncated one and calls onFailed() for both.
    virtual void onComplete() = 0;

    /// The call failed.
    virtual void onFailed(const HttpFailure &failure) = 0;
};

/// A running call. Destroying it closes its connection without notifying the listener.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    /// Stops or resumes reading the response.
    virtual void pause(bool paused) = 0;
};

/// Sends HTTP/1.1 requests.
class HttpSender
{
public:
    virtual ~HttpSender() = default;

    /// Sends \a request. \a listener must outlive the returned call.
    virtual std::unique_ptr<HttpCall> send(const HttpRequest &request,
                                           HttpResponseListener &listener) = 0;
};

/// Sends HTTP/1.1 requests over evhttp, each on a new connection: if the peer closed an idle
/// connection during a send, the outcome of an order would be unknown without need.
class HttpClient : public HttpSender
{
public:
    explicit HttpClient(EventLoop &loop);

    std::unique_ptr<HttpCall> send(const HttpRequest &request,
                                   HttpResponseListener &listener) override;

private:
    EventLoop &loop;
};

/// A complete response.
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;

    /// Returns the value of header \a name, ignoring case; empty if there is none.
    std::string header(std::string_view name) const;
};

/// Collects a complete response and then invokes a callback once. Owns its call.
class HttpFetch : private HttpResponseListener
{
public:
    using Callback = std::function<void(const std::optional<HttpResponse> &, const HttpFailure &)>;

    /// Largest body that is collected by default; the platform's pages and objects are smaller.
    static constexpr std::size_t DefaultMaxBodyBytes = 4UL * 1024 * 1024;

    /// Sends \a request and calls \a callback with the response, or with no response and the
    /// failure. A body of more than \a maxBodyBytes is a failure. The callback may destroy the
    /// fetch.
    HttpFetch(HttpSender &client, const HttpRequest &request, Callback callback,
              std::size_t maxBodyBytes = DefaultMaxBodyBytes);

private:
    void onHead(int status, const HttpHeaders &headers) override;
    void onData(std::string_view bytes) override;
    void onComplete() override;
    void onFailed(const HttpFailure &failure) override;

    HttpResponse response;
    std::size_t maxBodyBytes;
    Callback callback;
    std::unique_ptr<HttpCall> call;
};

} // namespace dotterel
