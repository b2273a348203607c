#pragma once

#include "coordination/request.h"
#include "core/identity.h"
#include "protocol/engine_stream.h"

namespace dotterel {

/// Hears what becomes of attempts.
class AttemptListener
{
public:
    virtual ~AttemptListener() = default;

    virtual void onToken(const AttemptId &attempt, const AnswerToken &token) = 0;
    virtual void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end) = 0;
    virtual void onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer) = 0;
    virtual void onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure) = 0;
};

/// Runs attempts on backend servers.
class BackendClient
{
public:
    virtual ~BackendClient() = default;

    /// Starts an attempt; the listener hears of it until it ends or is cancelled.
    virtual void send(const AttemptRequest &order) = 0;

    /// Stops reading the answer of an attempt, or goes on.
    virtual void pause(const AttemptId &attempt, bool paused) = 0;

    /// Stops an attempt and tells the backend server to drop it.
    virtual void cancel(const AttemptId &attempt) = 0;
};

} // namespace dotterel
