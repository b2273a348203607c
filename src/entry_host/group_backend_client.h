#pragma once

#include "coordination/memory_group.h"
#include "entry_host/http_backend_client.h"

#include <map>
#include <memory>

namespace dotterel {

/// Runs attempts whose prompt does not fit into the memory of one engine on several engines, and
/// passes all other attempts to an HttpBackendClient. MemoryGroup decides the next request:
///
/// - `PUT /v1/allocations/ID` reserves the memory of a part; 409 with `X-Not-Run` refuses it.
/// - `POST /v1/allocations/ID/prefill` with the prompt, `X-First-Token`, `X-Tokens` and, from the
///   second part on, `X-Import-From` (address:port/ID of the previous part, which exports its KV
///   cache): 200 when the part has been processed.
/// - The completion request goes to the server of the last part, with `X-Allocation`.
/// - `DELETE /v1/allocations/ID` releases a part; it is idempotent and is retried on failure.
class GroupBackendClient
    : public BackendClient
    , private AttemptListener
{
public:
    GroupBackendClient(EventLoop &loop, HttpClient &client, const HostIdentity &identity,
                       AttemptListener &listener);
    ~GroupBackendClient() override;

    void send(const AttemptRequest &order) override;
    void pause(const AttemptId &attempt, bool paused) override;
    void cancel(const AttemptId &attempt) override;

private:
    struct GroupAttempt;

    // AttemptListener, for the attempts of the single-engine client.
    void onToken(const AttemptId &attempt, const AnswerToken &token) override;
    void onAnswerEnd(const AttemptId &attempt, const AnswerEnd &end) override;
    void onServiceAnswer(const AttemptId &attempt, const ServiceAnswer &answer) override;
    void onAttemptFailed(const AttemptId &attempt, const AttemptFailure &failure) override;

    void scheduleNextAction(GroupAttempt &group, Duration delay);
    void runNextAction(const AttemptId &attempt);
    void generateFromLastPart(GroupAttempt &group);
    void reservePart(GroupAttempt &group, const GroupPart &part);
    void prefillPart(GroupAttempt &group, std::size_t position);
    void releasePart(GroupAttempt &group, const GroupPart &part);
    void sendRequest(GroupAttempt &group, const HttpRequest &request);
    void onActionFinished(const AttemptId &attempt, bool succeeded, bool refused);
    void reportFailure(GroupAttempt &group);
    HttpRequest requestFor(const GroupAttempt &group, const GroupPart &part,
                           const std::string &method) const;

    EventLoop &loop;
    HttpClient &client;
    HostIdentity identity;
    AttemptListener &listener;
    HttpBackendClient singleEngineClient;
    std::map<AttemptId, std::unique_ptr<GroupAttempt>> groupAttempts;
};

} // namespace dotterel
