#pragma once

#include "coordination/request.h"
#include "core/identity.h"
#include "protocol/engine_stream.h"

namespace dotterel {

/// Receives the results of attempts.
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

    /// Starts an attempt. The listener gets its results until it ends or is cancelled.
    virtual void send(const AttemptRequest &order) = 0;

    /// Pauses or resumes reading the response of an attempt.
    virtual void pause(const AttemptId &attempt, bool paused) = 0;

    /// Cancels an attempt and tells the backend server to stop its work.
    virtual void cancel(const AttemptId &attempt) = 0;
};

} // namespace dotterel
