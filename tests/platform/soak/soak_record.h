#pragma once

#include "core/time.h"
#include "transport/http_client.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::soak {

/// What a caller may expect of a request.
enum class RequestKind {
    Order,  ///< Runs once at most.
    Lookup, ///< May run again.
    Stream, ///< Events in order; may be resumed.
    Story,  ///< Events in order; runs once at most.
    Probe,  ///< Shows which configuration a host has.
};

/// One request, from what its caller and the backend servers saw.
struct SoakRequest
{
    RequestKind kind = RequestKind::Order;
    std::size_t host = 0;
    std::uint64_t incarnation = 0; ///< Of the host's process.
    std::uint64_t version = 0;     ///< Of the configuration that a probe looks for.
    TimePoint sent;
    std::size_t runs = 0;
    std::optional<int> status; ///< None while open, and after a failure without a status.
    bool ended = false;
    bool disturbed = false; ///< Its host was stopped or killed meanwhile.
};

/// Keeps every request and notes each promise that is broken.
class SoakRecord
{
public:
    /// A caller sent a request.
    void onSent(const std::string &id, const SoakRequest &request);

    /// A backend server began to run a request.
    void onRan(const std::string &id, const std::string &server);

    /// The host of a request answered.
    void onAnswered(const std::string &id, const HttpResponse &response);

    /// The caller got no whole answer.
    void onFailed(const std::string &id, const HttpFailure &failure);

    /// The process of \a host was stopped or killed.
    void onHostDisturbed(std::size_t host);

    /// Notes that a promise was broken.
    void note(const std::string &finding);

    /// Returns the request \a id, or null.
    const SoakRequest *find(const std::string &id) const;

    /// The text that a backend server answers to \a id.
    static std::string plainBody(const std::string &id);

    /// Event \a number of the answer to the stream \a id.
    static std::string event(const std::string &id, int number);

    const std::vector<std::string> &findings() const { return this->broken; }
    std::size_t requests() const { return this->known.size(); }

    /// Returns how many requests ended with \a status; 0 for those without one.
    std::size_t ended(int status) const;

private:
    void checkAnswer(const std::string &id, const SoakRequest &request,
                     const HttpResponse &response);

    std::map<std::string, SoakRequest> known;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> versions; ///< Seen, by process.
    std::vector<std::string> broken;
};

/// Events of a whole stream.
constexpr int StreamEvents = 8;

} // namespace dotterel::soak
