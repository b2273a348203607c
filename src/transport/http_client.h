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

/// A request to be sent by an HttpClient.
struct HttpRequest
{
    Endpoint endpoint;
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers;
    std::shared_ptr<const std::string> body;     ///< Shared, never copied; may be null.
    Duration timeout = std::chrono::seconds(30); ///< From the connect to the end of the answer.
    /// Longest wait for a connection; the whole timeout if it is zero.
    Duration connectTimeout = Duration::zero();
    bool freshConnection = true; ///< Never sent on a connection that has been idle.
    /// Header and value that the answer echoes; an answer with another value is dropped. Only for
    /// kept connections; empty if the peer echoes nothing.
    std::pair<std::string, std::string> echo;
};

/// Where an HTTP call failed.
enum class HttpFailureKind {
    ConnectFailed, ///< No connection; no byte of the request left the process.
    Timeout,
    ConnectionLost,
    Malformed,
    AnswerCut, ///< The head arrived, but the body did not arrive whole.
};

/// A call that ended without a whole answer.
struct HttpFailure
{
    HttpFailureKind kind = HttpFailureKind::ConnectFailed;
    Verdict verdict = Verdict::NotRun; ///< Follows from whether bytes left the process.
    bool keptConnection = false;       ///< The connection had been idle before the request.
};

/// Gets the answer to one call. No call is made after onComplete() or onFailed().
class HttpListener
{
public:
    virtual ~HttpListener() = default;

    /// The head of the answer arrived.
    virtual void onHead(int status, const HttpHeaders &headers) = 0;

    /// Part of the body arrived.
    virtual void onData(std::string_view bytes) = 0;

    /// The body arrived whole. HttpClient cannot tell a body that only the end of the connection
    /// delimits from a cut one and ends in onFailed().
    virtual void onComplete() = 0;

    /// The call failed.
    virtual void onFailed(const HttpFailure &failure) = 0;
};

/// A running call; destroying it closes its connection without a call to the listener.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    /// Stops reading the answer, or goes on.
    virtual void pause(bool paused) = 0;
};

/// Sends HTTP/1.1 requests.
class HttpSender
{
public:
    virtual ~HttpSender() = default;

    /// Sends \a request. \a listener must outlive the returned call.
    virtual std::unique_ptr<HttpCall> send(const HttpRequest &request, HttpListener &listener) = 0;
};

/// Sends HTTP/1.1 requests, each on a fresh connection: a connection that the other side may
/// close while it is idle would leave the outcome of an order unknown for no reason.
class HttpClient : public HttpSender
{
public:
    explicit HttpClient(EventLoop &loop);

    std::unique_ptr<HttpCall> send(const HttpRequest &request, HttpListener &listener) override;

private:
    EventLoop &loop;
};

/// A whole answer.
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;

    /// Value of header \a name, in any case; empty if there is none.
    std::string header(std::string_view name) const;
};

/// Collects a whole answer and then calls back once; owns its call.
class HttpFetch : private HttpListener
{
public:
    using Callback = std::function<void(const std::optional<HttpResponse> &, const HttpFailure &)>;

    /// Sends \a request and calls \a callback with the answer, or with none and the failure.
    /// The callback may destroy the fetch.
    HttpFetch(HttpSender &client, const HttpRequest &request, Callback callback);

private:
    void onHead(int status, const HttpHeaders &headers) override;
    void onData(std::string_view bytes) override;
    void onComplete() override;
    void onFailed(const HttpFailure &failure) override;

    HttpResponse response;
    Callback callback;
    std::unique_ptr<HttpCall> call;
};

} // namespace dotterel
