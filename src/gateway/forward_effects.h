#pragma once

#include "gateway/gateway_protocol.h"
#include "gateway/prompt_news.h"
#include "protocol/crash_notice.h"
#include "transport/http_client.h"
#include "transport/kept_http_server.h"

#include <memory>
#include <string>

namespace dotterel {

/// Names one attempt of a ForwardController at a server; never used again.
using ForwardAttemptId = std::uint64_t;

/// What a ForwardController wants to be done. Calls that end do so at once; none may call back.
class ForwardEffects
{
public:
    virtual ~ForwardEffects() = default;

    /// Sends \a request to a server and reports on \a attempt.
    virtual void sendAttempt(ForwardAttemptId attempt, const HttpRequest &request) = 0;

    /// Closes the connection of \a attempt, so that the server drops the work. No report follows.
    virtual void cancelAttempt(ForwardAttemptId attempt) = 0;

    /// Stops reading the answer of \a attempt, or goes on.
    virtual void pauseAttempt(ForwardAttemptId attempt, bool paused) = 0;

    /// Sends \a order to an engine and reports whether it was granted; what is given back is not
    /// reported.
    virtual void orderMemory(const MemoryOrder &order) = 0;

    /// Sends a whole answer to a caller.
    virtual void answer(HttpCallId call, int status, const HttpHeaders &headers,
                        std::string_view body) = 0;

    /// Sends the head of an answer; chunked without \a length.
    virtual void startAnswer(HttpCallId call, int status, const HttpHeaders &headers,
                             std::optional<std::uint64_t> length) = 0;

    /// Sends bytes of the body; returns how many bytes the caller has not taken yet.
    virtual std::size_t sendPart(HttpCallId call, std::string_view bytes) = 0;

    /// Ends an answer as whole.
    virtual void endAnswer(HttpCallId call) = 0;

    /// Breaks an answer off so that it does not look whole.
    virtual void abortAnswer(HttpCallId call) = 0;

    /// Tells the other hosts what became of a prompt of this host.
    virtual void tellPrompt(const PromptUpdate &item) = 0;

    /// Tells the other hosts of a request that may crash servers.
    virtual void tellCrash(const CrashNotice &notice) = 0;
};

} // namespace dotterel
