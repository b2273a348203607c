#pragma once

#include "core/time.h"
#include "transport/http_client.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::soak {

/// Kind of a request; decides what its caller may expect.
enum class RequestKind {
    Order,  ///< Runs at most once.
    Lookup, ///< Idempotent; may run again.
    Stream, ///< Event stream that may be resumed.
    Story,  ///< Event stream that cannot be resumed; runs at most once.
    Probe,  ///< Succeeds on hosts with a certain configuration version or a newer one.
};

/// A request as its caller and the backend servers observed it.
struct SoakRequest
{
    RequestKind kind = RequestKind::Order;
    std::size_t host = 0;
    std::uint64_t incarnation = 0; ///< Number of the host's process.
    std::uint64_t version = 0;     ///< Oldest configuration version in which a probe succeeds.
    TimePoint sent;
    std::size_t runs = 0;
    std::optional<int> status; ///< Absent while in flight, and after a failure without a response.
    bool ended = false;
    bool disturbed = false; ///< The host's process was suspended or killed during the request.
};

/// Records every request and checks the guarantees that the gateway gives to callers.
class SoakRecord
{
public:
    /// Records that a caller sent \a request.
    void onSent(const std::string &id, const SoakRequest &request);

    /// Records that the backend server \a server began to run the request \a id.
    void onRan(const std::string &id, const std::string &server);

    /// Records and checks the response to the request \a id.
    void onAnswered(const std::string &id, const HttpResponse &response);

    /// Records that the caller of the request \a id got no complete response.
    void onFailed(const std::string &id, const HttpFailure &failure);

    /// Records that the process of \a host was suspended, resumed or killed.
    void onHostDisturbed(std::size_t host);

    /// Records the violation of a guarantee.
    void note(const std::string &description);

    /// Returns the request \a id, or nullptr.
    const SoakRequest *find(const std::string &id) const;

    /// Returns the response body of a backend server for the request \a id.
    static std::string plainBody(const std::string &id);

    /// Returns event \a number of the response to the stream request \a id.
    static std::string event(const std::string &id, int eventNumber);

    const std::vector<std::string> &findings() const { return this->broken; }
    std::size_t requests() const { return this->known.size(); }

    /// Returns the number of requests that finished with \a status; 0 counts those without a
    /// response.
    std::size_t ended(int status) const;

private:
    void checkAnswer(const std::string &id, const SoakRequest &request,
                     const HttpResponse &response);

    std::map<std::string, SoakRequest> known;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t>
            versions; ///< Newest version that a probe saw, by host and process.
    std::vector<std::string> broken;
};

/// Number of events of a complete stream.
constexpr int StreamEvents = 8;

} // namespace dotterel::soak
