#pragma once

#include "core/random_source.h"
#include "platform/soak/loopback_proxy.h"
#include "platform/soak/raw_http_server.h"
#include "platform/soak/soak_bounds.h"
#include "platform/soak/soak_checker.h"
#include "platform/soak/soak_crashes.h"
#include "platform/soak/soak_response.h"

#include <algorithm>
#include <functional>
#include <list>
#include <nlohmann/json.hpp>
#include <string>

namespace dotterel::soak {

/// Fault that a SoakServer injects.
enum class ServerFault {
    None,
    RejectRequests, ///< Responds that it has not run the request.
    DropResponses,  ///< Runs the request and closes the connection without a response.
    NeverRespond,   ///< Runs the request and never responds.
    TearResponses,  ///< Ends the response and its connection in order, at any byte.
    ResetResponses, ///< Resets the connection at any byte of the response.
    OddResponses,   ///< Sends bytes that are no answer, whole or without end.
    FloodResponses, ///< Sends a refusal, an error, an unsigned response or an event without end.
};

/// Stand-in for a backend server of the platform, behind a proxy that injects link faults.
class SoakServer
{
public:
    SoakServer(EventLoop &loop, const std::string &id, const std::string &pool,
               const std::string &failureDomain, SoakChecker &checker, SoakBounds &bounds,
               SoakCrashes &crashes, RandomSource &random,
               std::function<void(SoakServer &)> onCrashed);

    /// Returns the registration entry of this server.
    nlohmann::json registrationEntry(bool draining) const;

    void setFault(ServerFault newFault) { this->fault = newFault; }

    /// Makes one stream in five last more than a second.
    void setLongAnswers(bool newLong) { this->longAnswers = newLong; }

    /// Says in all responses from now on that this server leaves.
    void leaveByHeader() { this->leaving = true; }

    /// Refuses all requests until \a time and asks for a pause until then.
    void pauseUntil(TimePoint time) { this->pauseEnd = std::max(this->pauseEnd, time); }

    /// Names \a limit, in requests per second, in all responses from now on; nullopt for none.
    void nameLimit(std::optional<double> limit);

    /// Says from now on, for \a time, that this server warms up.
    void warmUp(Duration time);

    LoopbackProxy &linkProxy() { return this->proxy; }
    const std::string &serverId() const { return this->id; }
    const std::string &poolName() const { return this->pool; }
    const std::string &domainName() const { return this->failureDomain; }

private:
    /// Returns true if what this server answers now is sure to reach the hosts.
    bool answersArrive() const;
    Duration warmUpLeft() const;
    void handleRequest(const RawExchangePtr &exchange);
    /// Returns \a headers with the announcements of this server, and records to whom they go.
    HttpHeaders announce(HttpHeaders headers, const std::string &requestId);
    /// Returns the header line with the limit of this server; empty if it names none.
    std::string limitLine() const;
    /// Runs a request that crashes this server.
    void runDeadly(const RawExchangePtr &exchange, const std::string &requestId,
                   const DeadlyLoad &load);
    void crash(CrashKind kind);
    void refuseForPause(const RawExchangePtr &exchange, const std::string &requestId);
    void sendResponse(const RawExchangePtr &exchange, const std::string &requestId,
                      ResponseBreak responseBreak);
    /// Writes the pieces of \a response from number \a next on, with pauses between events.
    void sendPieces(const RawExchangePtr &exchange, const std::shared_ptr<SoakResponse> &response,
                    std::size_t next, Duration pause);
    void sendOddResponse(const RawExchangePtr &exchange, const std::string &requestId);
    /// Begins a response without end of \a kind, and goes on until the peer closes.
    void startFlood(const RawExchangePtr &exchange, const std::string &requestId,
                    std::uint64_t kind);
    void continueFlood(const RawExchangePtr &exchange, std::size_t sentBytes);
    void runAfter(Duration delay, std::function<void()> action);

    EventLoop &loop;
    std::string id;
    std::string pool;
    std::string failureDomain;
    SoakChecker &checker;
    SoakBounds &bounds;
    SoakCrashes &crashes;
    RandomSource &random;
    std::function<void(SoakServer &)> onCrashed;
    bool crashed = false;
    ServerFault fault = ServerFault::None;
    bool leaving = false;
    bool longAnswers = false;
    std::optional<double> limit; ///< In requests per second.
    TimePoint pauseEnd;
    TimePoint warmUntil;
    std::list<EventLoop::TimerHandle> delayTimers;
    std::list<RawExchangePtr> heldExchanges;
    RawHttpServer server;
    LoopbackProxy proxy;
};

} // namespace dotterel::soak
